#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_REFERENCE_PAGE_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_REFERENCE_PAGE_HPP

#include <string>

namespace buckthornvale::settings
{

//! Generates the page docs/settings.md from the key tables.
std::string reference_page();

} // namespace buckthornvale::settings

#endif
