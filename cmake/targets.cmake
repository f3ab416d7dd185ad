# Sources are collected by pattern so that a new module needs no edit here.
file(GLOB_RECURSE core_sources CONFIGURE_DEPENDS
  ${PROJECT_SOURCE_DIR}/src/*.cpp
  ${PROJECT_SOURCE_DIR}/platform/*.cpp)
set(test_sources ${core_sources})
set(testing_sources ${core_sources})
list(FILTER test_sources INCLUDE REGEX "_test\\.cpp$")
list(FILTER testing_sources INCLUDE REGEX "/(src|platform)/testing/")
list(FILTER testing_sources EXCLUDE REGEX "(_test|_main)\\.cpp$")
list(FILTER core_sources EXCLUDE REGEX "_test\\.cpp$|/(src|platform)/testing/|_main\\.cpp$")

# easylogging++ ships its implementation as one source file.
add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE
  ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(easyloggingpp PRIVATE -w)

add_library(skylarkhill_core STATIC ${core_sources})
target_include_directories(skylarkhill_core PUBLIC
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR})
target_link_libraries(skylarkhill_core PUBLIC
  skylarkhill_dependencies easyloggingpp)

if(testing_sources)
  add_library(skylarkhill_testing STATIC ${testing_sources})
  target_link_libraries(skylarkhill_testing PUBLIC skylarkhill_core lua5.4)
  target_include_directories(skylarkhill_testing PUBLIC /usr/include/lua5.4)
endif()

# Every src/<module>/<name>_main.cpp is one program.
file(GLOB_RECURSE main_sources CONFIGURE_DEPENDS
  ${PROJECT_SOURCE_DIR}/src/*_main.cpp)
foreach(source IN LISTS main_sources)
  get_filename_component(name ${source} NAME_WE)
  string(REGEX REPLACE "_main$" "" name ${name})
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE skylarkhill_core)
  if(NOT name STREQUAL "skylarkhill" AND TARGET skylarkhill_testing)
    target_link_libraries(${name} PRIVATE skylarkhill_testing)
  endif()
endforeach()

add_executable(skylarkhill_tests ${test_sources})
target_link_libraries(skylarkhill_tests PRIVATE skylarkhill_core cppunit)
if(TARGET skylarkhill_testing)
  target_link_libraries(skylarkhill_tests PRIVATE skylarkhill_testing)
endif()
target_compile_definitions(skylarkhill_tests PRIVATE
  SKYLARKHILL_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
  SKYLARKHILL_BINARY_DIR="${PROJECT_BINARY_DIR}")
