# Functions shared by the CMakeLists.txt of all packages.

include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(BUCKTHORNVALE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror)

# Adds the library buckthornvale_<name> (alias buckthornvale::<name>) from
# src/**.cpp, with its install rules and its find_package configuration.
#   DEPENDS   targets to link publicly
#   PACKAGES  packages that the installed configuration finds with find_dependency
function(buckthornvale_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS;PACKAGES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(buckthornvale_${name} STATIC ${sources})
  add_library(buckthornvale::${name} ALIAS buckthornvale_${name})
  set_target_properties(buckthornvale_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(buckthornvale_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_compile_options(buckthornvale_${name} PRIVATE ${BUCKTHORNVALE_WARNINGS})
  target_compile_features(buckthornvale_${name} PUBLIC cxx_std_17)
  target_link_libraries(buckthornvale_${name} PUBLIC ${arg_DEPENDS})

  set(config_name buckthornvale_${name})
  install(TARGETS buckthornvale_${name} EXPORT ${config_name}-targets)
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  install(EXPORT ${config_name}-targets NAMESPACE buckthornvale::
          DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/${config_name})
  set(config_file ${CMAKE_CURRENT_BINARY_DIR}/${config_name}-config.cmake)
  set(config_text "include(CMakeFindDependencyMacro)\n")
  foreach(package ${arg_PACKAGES})
    string(APPEND config_text "find_dependency(${package})\n")
  endforeach()
  string(APPEND config_text
    "include(\${CMAKE_CURRENT_LIST_DIR}/${config_name}-targets.cmake)\n")
  file(WRITE ${config_file} "${config_text}")
  set(version_file ${CMAKE_CURRENT_BINARY_DIR}/${config_name}-config-version.cmake)
  write_basic_package_version_file(${version_file} COMPATIBILITY SameMinorVersion)
  install(FILES ${config_file} ${version_file}
          DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/${config_name})
endfunction()

# Adds the test executable <name>_tests from tests/**.cpp.
function(buckthornvale_tests name)
  if(NOT BUCKTHORNVALE_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS tests/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_tests ${sources})
  target_include_directories(${name}_tests PRIVATE tests)
  target_compile_options(${name}_tests PRIVATE ${BUCKTHORNVALE_WARNINGS})
  target_link_libraries(${name}_tests PRIVATE ${arg_DEPENDS} GTest::gtest_main)
  gtest_discover_tests(${name}_tests DISCOVERY_TIMEOUT 60)
endfunction()
