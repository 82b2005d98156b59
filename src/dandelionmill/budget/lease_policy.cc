#include "dandelionmill/budget/lease_policy.h"

#include <algorithm>
#include <cmath>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::budget {
namespace {

// Number of requests of the largest size that a lease can serve without any
// measured demand; also the minimum size of a router's slice.
constexpr base::Tokens kMinLeaseRequests = 4;
// Margin over the mean demand, in standard deviations. Demand during an outage
// exceeds it once in a thousand outages.
constexpr double kDemandMarginDeviations = 3;
// A router's slice in percent of its equal share.
constexpr base::Tokens kSlicePercent = 150;

base::Tokens TargetTokens(const DemandPolicy& policy,
                          const SizingInput& input) {
  if (input.idle > policy.reserve)
    return 0;
  const std::chrono::duration<double> reserve = policy.reserve;
  const double mean = input.rate * reserve.count();
  if (policy.scarce)
    return static_cast<base::Tokens>(std::ceil(mean));
  // The variance of a compound Poisson sum is the mean times the mean squared
  // size over the mean size, which is at most the largest size.
  const double standard_deviation =
      std::sqrt(mean * static_cast<double>(input.largest));
  return static_cast<base::Tokens>(
             std::ceil(mean + kDemandMarginDeviations * standard_deviation)) +
         kMinLeaseRequests * input.largest;
}

base::Tokens Shortfall(const SizingInput& input) {
  return std::max<base::Tokens>(0, input.waiting - input.available);
}

// Draws the tokens that waiting requests need. Beyond these it draws at most a
// share of the free tokens, so that other zones can draw too.
base::Tokens PlanByDemand(const DemandPolicy& policy,
                          const SizingInput& input) {
  // Tokens that cannot serve the first waiting request may serve a request of
  // another holder.
  if (input.first_waiting > input.available + input.free)
    return policy.scarce ? -input.available : 0;
  const base::Tokens target = TargetTokens(policy, input) + input.waiting;
  const base::Tokens slack = policy.scarce ? 0 : target / 2;
  if (input.available > target + slack)
    return target - input.available;
  const base::Tokens share = input.free / (policy.zones + 1);
  const base::Tokens wanted =
      std::max<base::Tokens>(0, target - input.available);
  return std::max(Shortfall(input), std::min(wanted, share));
}

base::Tokens PlanFixedSplit(const FixedSplitPolicy& policy,
                            const SizingInput& input) {
  const base::Tokens share = input.granted / std::max(1, policy.instances);
  return std::max<base::Tokens>(0, share - input.drawn);
}

base::Tokens PlanPerRequest(const SizingInput& input) {
  const base::Tokens draw = input.first_waiting - input.available;
  return draw > input.free ? 0 : draw;
}

}  // namespace

base::Tokens PlanDraw(const LeasePolicy& policy, const SizingInput& input) {
  const base::Tokens draw = std::visit(
      base::Overloaded{
          [&](const DemandPolicy& demand) {
            return PlanByDemand(demand, input);
          },
          [&](const FixedSplitPolicy& split) {
            return PlanFixedSplit(split, input);
          },
          [&](const PerRequestPolicy&) { return PlanPerRequest(input); }},
      policy);
  return std::min(draw, std::max<base::Tokens>(0, input.free));
}

bool NeedsWrite(const LeasePolicy& policy, const SizingInput& input) {
  return std::visit(
      base::Overloaded{[&](const DemandPolicy& demand) {
                         const base::Tokens target =
                             TargetTokens(demand, input);
                         return input.waiting > 0 ||
                                input.available < target - target / 4 ||
                                input.available > 2 * target;
                       },
                       [&](const FixedSplitPolicy&) {
                         return input.drawn == 0 && input.waiting > 0;
                       },
                       [&](const PerRequestPolicy&) {
                         return input.waiting > 0 || input.available > 0;
                       }},
      policy);
}

std::map<base::RouterId, base::Tokens> SplitAmongRouters(
    const std::set<base::RouterId>& routers,
    base::Tokens available,
    base::Tokens largest) {
  std::map<base::RouterId, base::Tokens> slices;
  if (routers.empty())
    return slices;
  const auto count = static_cast<base::Tokens>(routers.size());
  const base::Tokens share = available * kSlicePercent / (100 * count);
  const base::Tokens slice =
      std::min(available, std::max(share, kMinLeaseRequests * largest));
  for (const base::RouterId& router : routers)
    slices[router] = slice;
  return slices;
}

}  // namespace dandelionmill::budget
