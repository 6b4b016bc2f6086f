# balsampost_test_program(NAME LIBRARY SOURCES...): one CppUnit program for one library.
function(balsampost_test_program name library)
    if(NOT BALSAMPOST_TESTS)
        return()
    endif()
    add_executable(${name} ${CMAKE_SOURCE_DIR}/src/cmake/test_main.cpp ${ARGN})
    target_link_libraries(${name} PRIVATE ${library} PkgConfig::CPPUNIT rapidcheck)
    add_test(NAME ${name} COMMAND ${name})
endfunction()
