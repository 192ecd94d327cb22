#include <buckthornvale/serving/log/logging.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace buckthornvale::serving::log
{

namespace
{

constexpr char layout[] = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %-5p %m%n";

log4cxx::LoggerPtr logger()
{
    static auto const instance = log4cxx::Logger::getLogger("buckthornvale");
    return instance;
}

log4cxx::LevelPtr parse_level(std::string_view name)
{
    if (name == "info")
        return log4cxx::Level::getInfo();
    if (name == "warning")
        return log4cxx::Level::getWarn();
    if (name == "error")
        return log4cxx::Level::getError();
    if (name == "off")
        return log4cxx::Level::getOff();
    return nullptr;
}

} // namespace

bool start_logging(std::string_view least)
{
    auto const value = parse_level(least);
    if (!value)
        return false;
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(
        std::make_shared<log4cxx::PatternLayout>(layout),
        log4cxx::ConsoleAppender::getSystemErr());
    auto const root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    logger()->setLevel(value);
    return true;
}

std::string log_text(std::string_view text)
{
    std::string out;
    for (auto const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (absl::ascii_iscntrl(byte))
            absl::StrAppend(&out, "\\x", absl::Hex(byte, absl::kZeroPad2));
        else
            out.push_back(c);
    }
    return out;
}

void write_log(level severity, std::string_view text)
{
    auto const line = log_text(text);
    switch (severity)
    {
    case level::info:
        LOG4CXX_INFO(logger(), line);
        break;
    case level::warning:
        LOG4CXX_WARN(logger(), line);
        break;
    case level::error:
        LOG4CXX_ERROR(logger(), line);
        break;
    }
}

} // namespace buckthornvale::serving::log
