#ifndef TESTS_PROPERTY_RAPIDCHECK_CASES_H_
#define TESTS_PROPERTY_RAPIDCHECK_CASES_H_

#include <cstdlib>
#include <string>

// Sets the number of cases per property of the test program, unless RC_PARAMS
// already contains max_success. Define it as a static, because it has to run
// before the first property.
class DefaultCases {
 public:
  explicit DefaultCases(int cases) {
    const char* environment = std::getenv("RC_PARAMS");
    std::string params = environment == nullptr ? "" : environment;
    if (params.find("max_success") == std::string::npos)
      params += " max_success=" + std::to_string(cases);
    setenv("RC_PARAMS", params.c_str(), 1);
  }
};

#endif  // TESTS_PROPERTY_RAPIDCHECK_CASES_H_
