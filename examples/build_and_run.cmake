# Configures, builds and runs the project in SOURCE_DIR against the packages
# installed in PREFIX. If EXPECTED is set, compares the program's output with
# that file. Guards against a header, library or dependency that is missing from
# the installation.

function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE status
                  OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT status EQUAL 0)
    message(FATAL_ERROR "${ARGN} failed (${status}):\n${output}")
  endif()
endfunction()

file(REMOVE_RECURSE ${WORK_DIR})
run(${CMAKE_COMMAND} -S ${SOURCE_DIR} -B ${WORK_DIR} -G ${GENERATOR}
    -DCMAKE_PREFIX_PATH=${PREFIX} -DCMAKE_BUILD_TYPE=Debug
    -DCMAKE_CXX_COMPILER=${CXX_COMPILER}
    -DCMAKE_CXX_COMPILER_LAUNCHER=${CXX_LAUNCHER}
    -DCMAKE_CXX_FLAGS=${CXX_FLAGS} -DPACKAGE=${PACKAGE})
run(${CMAKE_COMMAND} --build ${WORK_DIR} -j 1)
execute_process(COMMAND ${WORK_DIR}/${PROGRAM} RESULT_VARIABLE status
                OUTPUT_VARIABLE output ERROR_VARIABLE errors)
if(NOT status EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} failed (${status}):\n${output}${errors}")
endif()
if(NOT DEFINED EXPECTED)
  return()
endif()
file(READ ${EXPECTED} expected)
if(NOT output STREQUAL expected)
  message(FATAL_ERROR "${PROGRAM} wrote:\n${output}\nexpected:\n${expected}")
endif()
