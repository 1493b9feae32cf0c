# One macro declares every package of the workspace.
#
#   banyanpick_package(NAME TYPE SOURCES ... [DEPENDS ...])
#
# TYPE is one of
#   LIBRARY  a static library; headers are reached as <package>/Name.h
#   PLUGIN   an object library, so that its self-registration is never dropped
#            by the linker; added to the list BANYANPICK_PLUGINS
#   PROGRAM  an executable placed in bin/
#   TEST     an executable linked with GoogleTest and RapidCheck, run by CTest

function(banyanpick_package NAME TYPE)
  cmake_parse_arguments(PACKAGE "" "" "SOURCES;DEPENDS" ${ARGN})
  if(TYPE STREQUAL "LIBRARY")
    add_library(${NAME} STATIC ${PACKAGE_SOURCES})
  elseif(TYPE STREQUAL "PLUGIN")
    add_library(${NAME} OBJECT ${PACKAGE_SOURCES})
    set_property(GLOBAL APPEND PROPERTY BANYANPICK_PLUGINS ${NAME})
  else()
    add_executable(${NAME} ${PACKAGE_SOURCES})
  endif()
  target_include_directories(${NAME} PUBLIC
    ${PROJECT_SOURCE_DIR}/src/libs ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${NAME} PUBLIC ${PACKAGE_DEPENDS})
  if(TYPE STREQUAL "PROGRAM")
    set_target_properties(${NAME} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  elseif(TYPE STREQUAL "TEST")
    target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${NAME} PRIVATE GTest::gtest GTest::gtest_main
                                          rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261202")
  endif()
endfunction()

# Links every plug-in into TARGET as objects. Call after all plug-ins are known.
function(banyanpick_link_plugins TARGET)
  get_property(PLUGINS GLOBAL PROPERTY BANYANPICK_PLUGINS)
  foreach(PLUGIN IN LISTS PLUGINS)
    target_link_libraries(${TARGET} PRIVATE ${PLUGIN})
  endforeach()
endfunction()
