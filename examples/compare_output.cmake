# Fails if the output of PROGRAM differs from the committed file EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE printed
                RESULT_VARIABLE exit_code)
if(NOT exit_code EQUAL 0)
    message(FATAL_ERROR "${PROGRAM} failed with exit code ${exit_code}")
endif()
file(READ ${EXPECTED} expected)
if(NOT printed STREQUAL expected)
    message(FATAL_ERROR "${EXPECTED} is out of date; update it with the output of ${PROGRAM}")
endif()
