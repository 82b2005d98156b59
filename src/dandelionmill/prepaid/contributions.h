#ifndef SRC_DANDELIONMILL_PREPAID_CONTRIBUTIONS_H_
#define SRC_DANDELIONMILL_PREPAID_CONTRIBUTIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/prepaid/rows.h"

namespace dandelionmill::prepaid {

// Returns `row` after `process` has moved `tokens` from the account, or back if
// negative. `sequence` numbers the changes of the process, `store_time` is the
// store's steady clock.
AccountRow AfterMove(AccountRow row,
                     const std::string& process,
                     base::Tokens tokens,
                     std::uint64_t sequence,
                     std::chrono::milliseconds store_time);

// Remembers what each process has contributed to the stored totals, as far as
// this one has read or written it, so that a total of a restored store can be
// completed by what it has lost. Pure.
class Contributions {
 public:
  // How long a contribution is remembered after its last change; longer than
  // the age of any copy from which the store is restored, and shorter than
  // stored rows list it.
  static constexpr std::chrono::minutes kMemory{5};

  // Commands.
  // A total was read or written in an era of the store.
  void Observe(const base::AccountId& account,
               const AccountRow& row,
               std::uint64_t era);
  // Forgets contributions that are too old.
  void Expire(std::chrono::milliseconds store_time);

  // Queries.
  // Returns `row`, as stored in `era`, with the later contributions that are
  // known from earlier eras.
  AccountRow Complete(const base::AccountId& account,
                      AccountRow row,
                      std::uint64_t era) const;
  // Returns the accounts with contributions that were last observed before
  // `era`, so that its totals may lack them.
  std::vector<base::AccountId> AccountsBefore(std::uint64_t era) const;
  bool HasEarlier(const base::AccountId& account, std::uint64_t era) const;

 private:
  struct Known {
    Contribution contribution;
    // The latest era in which a stored total had it.
    std::uint64_t era = 0;
  };
  using ByProcess = std::map<std::string, Known>;

  static bool HasEarlier(const ByProcess& known, std::uint64_t era);

  std::map<base::AccountId, ByProcess> known_;
};

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_CONTRIBUTIONS_H_
