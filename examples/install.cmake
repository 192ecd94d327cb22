# Installs the build into PREFIX. Removes PREFIX first, so that a file that is
# no longer installed is not found from an earlier run.
file(REMOVE_RECURSE ${PREFIX})
execute_process(
  COMMAND ${CMAKE_COMMAND} --install ${BUILD_DIR} --prefix ${PREFIX}
  RESULT_VARIABLE status OUTPUT_VARIABLE output ERROR_VARIABLE output)
if(NOT status EQUAL 0)
  message(FATAL_ERROR "install failed (${status}):\n${output}")
endif()
