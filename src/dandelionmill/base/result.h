#ifndef SRC_DANDELIONMILL_BASE_RESULT_H_
#define SRC_DANDELIONMILL_BASE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

#include "dandelionmill/base/codes.h"

namespace dandelionmill::base {

// A result code and a sentence that names the value at fault.
struct Error {
  Code code = Code::kInternal;
  std::string detail;
};

// Either a value or an error.
template <class T>
using Result = std::variant<T, Error>;

// The value type of an operation that returns no value.
struct Unit {};

using Status = Result<Unit>;

template <class T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

// Returns the value; throws std::bad_variant_access when `result` is an error.
template <class T>
T& ValueOf(Result<T>& result) {
  return std::get<0>(result);
}

template <class T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

template <class T>
T&& ValueOf(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

// Returns the error; throws std::bad_variant_access when `result` is a value.
template <class T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

// Returns number, name and detail, as in "301 budget_exhausted: detail".
inline std::string ToString(const Error& error) {
  const CodeInfo& info = InfoOf(error.code);
  std::string text = std::to_string(static_cast<int>(error.code));
  text += ' ';
  text += info.name;
  if (!error.detail.empty()) {
    text += ": ";
    text += error.detail;
  }
  return text;
}

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_RESULT_H_
