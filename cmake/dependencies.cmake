# cxxtools 3.0 uses allocator members that C++20 removed.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

find_package(Threads REQUIRED)
find_package(nng REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)

add_library(skylarkhill_dependencies INTERFACE)
target_link_libraries(skylarkhill_dependencies INTERFACE
  cxxtools cxxtools-http cxxtools-json nng::nng Boost::program_options
  Threads::Threads)
target_compile_options(skylarkhill_dependencies INTERFACE
  -Wall -Wextra -Wpedantic -Werror=return-type -Werror=switch)
target_compile_definitions(skylarkhill_dependencies INTERFACE
  SKYLARKHILL_VERSION="${PROJECT_VERSION}")
