# Warnings are errors in our own sources; library headers are system headers. GCC 12 reports the operator delete of
# Asio's coroutine frames as mismatched, wrongly, wherever it inlines a coroutine.
add_compile_options(-Wall -Wextra -Werror -Wshadow -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    add_compile_options(-Wno-mismatched-new-delete)
endif()
