# Warnings are errors in our own sources; library headers are system headers. GCC 12 warns wrongly in two places: the
# operator delete of Asio's coroutine frames, and members of a std::variant's alternatives that it does not hold.
add_compile_options(-Wall -Wextra -Werror -Wshadow -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    add_compile_options(-Wno-mismatched-new-delete -Wno-maybe-uninitialized)
endif()
