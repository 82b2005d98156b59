# CAF 0.17 ships no CMake config. Only its core is used; its networking and
# clustering stay unused.
find_path(CAF_INCLUDE_DIR caf/all.hpp)
find_library(CAF_CORE_LIBRARY caf_core)
include(FindPackageHandleStandardArgs)
find_package_handle_standard_args(Caf REQUIRED_VARS CAF_CORE_LIBRARY CAF_INCLUDE_DIR)
if(Caf_FOUND AND NOT TARGET Caf::core)
  add_library(Caf::core UNKNOWN IMPORTED)
  set_target_properties(Caf::core PROPERTIES
    IMPORTED_LOCATION ${CAF_CORE_LIBRARY}
    INTERFACE_INCLUDE_DIRECTORIES ${CAF_INCLUDE_DIR})
endif()
