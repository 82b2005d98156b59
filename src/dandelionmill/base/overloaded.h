#ifndef SRC_DANDELIONMILL_BASE_OVERLOADED_H_
#define SRC_DANDELIONMILL_BASE_OVERLOADED_H_

namespace dandelionmill::base {

// Combines several lambdas into one visitor for std::visit.
template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_OVERLOADED_H_
