# Declares a static library hs_NAME and, if TESTS are given, a doctest program
# NAME_tests registered with CTest. The RapidCheck seed is fixed to make runs
# reproducible; `make fuzz` uses a new one.
function(hs_add_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPS" ${ARGN})
    add_library(hs_${name} STATIC ${ARG_SOURCES})
    target_include_directories(hs_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src
                                                 ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(hs_${name} PUBLIC ${ARG_DEPS})
    if(ARG_TESTS AND NOT HAWTHORNSPUR_PRODUCT_ONLY)
        hs_add_tests(${name} TESTS ${ARG_TESTS} DEPS hs_${name})
    endif()
endfunction()

# Declares a doctest program NAME_tests and registers it with CTest.
function(hs_add_tests name)
    cmake_parse_arguments(ARG "" "" "TESTS;DEPS" ${ARGN})
    add_executable(${name}_tests ${PROJECT_SOURCE_DIR}/src/base/test_main.cpp
                                 ${ARG_TESTS})
    target_link_libraries(${name}_tests PRIVATE ${ARG_DEPS} hs_test_support)
    hs_known_red_cases(${name} red_cases)
    # Commas separate the patterns of doctest's filters.
    list(TRANSFORM red_cases REPLACE "," "\\\\,")
    list(JOIN red_cases "," excluded)
    add_test(NAME ${name}
             COMMAND ${name}_tests "--test-case-exclude=${excluded}")
    set(tests ${name})
    foreach(red_case IN LISTS red_cases)
        set(red_test "${name}: ${red_case}")
        add_test(NAME "${red_test}"
                 COMMAND ${name}_tests "--test-case=${red_case}")
        hs_label_known_red("${red_test}")
        list(APPEND tests "${red_test}")
    endforeach()
    set_tests_properties(
        ${tests} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
