#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_REFERENCE_PAGE_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_REFERENCE_PAGE_HPP

#include <string>

namespace buckthornvale::settings
{

//! The page docs/settings.md, written from the tables of keys.
std::string reference_page();

} // namespace buckthornvale::settings

#endif
