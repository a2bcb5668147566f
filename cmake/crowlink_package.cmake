# The flags that every target of ours is built with.
add_library(crowlink_options INTERFACE)
target_compile_options(crowlink_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor
  -Wzero-as-null-pointer-constant)
# GCC 12 reports false positives of these inside the standard library.
target_compile_options(crowlink_options INTERFACE
  $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict -Wno-maybe-uninitialized
    -Wno-array-bounds -Wno-stringop-overflow -Wno-stringop-overread>)
if(CROWLINK_SANITIZE)
  target_compile_options(crowlink_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  target_link_options(crowlink_options INTERFACE
    -fsanitize=address,undefined)
endif()

# crowlink_package(NAME [DEPENDS target...]) makes the static library
# crowlink_NAME from src/*.cpp and src/*/*.cpp (an interface library where there
# are none) and the test crowlink_NAME_test from test/*.cpp.
function(crowlink_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp
    ${CMAKE_CURRENT_SOURCE_DIR}/src/*/*.cpp)
  set(target crowlink_${NAME})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target}
      PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
      PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC crowlink_options ${ARG_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target}
      INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${target} INTERFACE crowlink_options ${ARG_DEPENDS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(CROWLINK_TESTS AND tests)
    add_executable(${target}_test ${tests})
    target_include_directories(${target}_test
      PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
              ${CMAKE_CURRENT_SOURCE_DIR}/test)
    target_link_libraries(${target}_test PRIVATE
      ${target} GTest::gtest GTest::gtest_main ${ARG_TEST_DEPENDS})
    target_compile_definitions(${target}_test PRIVATE
      CROWLINK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    gtest_discover_tests(${target}_test DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 120)
  endif()
endfunction()

# crowlink_benchmark(NAME SOURCES file... [DEPENDS target...]) makes one
# benchmark program; benchmarks are built with the rest and never shipped.
function(crowlink_benchmark NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE crowlink_options ${ARG_DEPENDS})
endfunction()
