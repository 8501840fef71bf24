# hawthornlane_library(NAME [DEPENDS lib...] [LINK target...])
#
# Declares the library libs/NAME with its public headers and sources and, if it has a test
# folder, one test program that CTest runs.
function(hawthornlane_library name)
  hawthornlane_library_at(libs/${name} ${name} ${ARGN})
endfunction()

# hawthornlane_library_at(FOLDER NAME ...): the same for a library in FOLDER.
function(hawthornlane_library_at folder name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  set(root ${CMAKE_SOURCE_DIR}/${folder})
  file(GLOB sources CONFIGURE_DEPENDS ${root}/src/*.cc)
  set(target hawthornlane_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${root}/include)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${target} ${scope} hawthornlane_${dependency})
  endforeach()
  target_link_libraries(${target} ${scope} ${ARG_LINK})

  file(GLOB tests CONFIGURE_DEPENDS ${root}/test/*_test.cc)
  if(tests AND HAWTHORNLANE_TESTS)
    hawthornlane_test(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${target})
    target_compile_definitions(${name}_test
                               PRIVATE HAWTHORNLANE_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}")
  endif()
endfunction()

# The translation unit with Catch2's main function, compiled once for all test programs.
add_library(hawthornlane_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)
target_include_directories(hawthornlane_test_main PUBLIC ${CMAKE_SOURCE_DIR}/cmake/test_support)

# hawthornlane_test(NAME source...): a Catch2 program registered with CTest.
function(hawthornlane_test name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE hawthornlane_test_main)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
