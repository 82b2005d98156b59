#ifndef SRC_DANDELIONMILL_PREPAID_ROWS_H_
#define SRC_DANDELIONMILL_PREPAID_ROWS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::prepaid {

// Where the rows are stored. Each account and each instance has a part of its
// own, so that their transactions do not queue behind each other.
inline constexpr char kTable[] = "prepaid";
inline constexpr char kAccountPart[] = "account:";
inline constexpr char kInstancePart[] = "instance:";
inline constexpr char kTotalKey[] = "total";
inline constexpr char kHolderKey[] = "holder";

// The stored total of one client account.
struct AccountRow {
  // Tokens that holders have drawn and not returned. Never above the prepaid
  // amount.
  base::Tokens drawn = 0;
};

// What an instance holds of one account and promises about its use.
struct HolderShare {
  // Tokens drawn by this process and not returned.
  base::Tokens drawn = 0;
  // Tokens of these that the process may have used or reserved before it stores
  // its next row, unless it is quiet for long.
  base::Tokens committed = 0;
  // What it may commit beyond these in each second after HolderRow::quiet.
  double rate_per_s = 0;
};

// The stored state of one instance as a holder. Only the process of that
// instance writes it.
struct HolderRow {
  // One life of the process.
  std::string process;
  // Grows with each write of the process.
  std::uint64_t sequence = 0;
  // The store's steady clock, not later than when the row was stored. 0 when it
  // was not known.
  std::chrono::milliseconds as_of{0};
  // How long after `as_of` the process keeps to `committed` without storing
  // another row.
  std::chrono::milliseconds quiet{0};
  std::map<base::AccountId, HolderShare> shares;
};

std::string Encode(const AccountRow& row);
std::string Encode(const HolderRow& row);

// Fail with kMalformedMessage naming the field.
base::Result<AccountRow> DecodeAccountRow(const std::string& text);
base::Result<HolderRow> DecodeHolderRow(const std::string& text);

// Returns what a process that is known to have ended has certainly not used of
// `share`, `beyond_quiet` after the end of the row's quiet time by the store's
// clock.
base::Tokens Recoverable(const HolderShare& share,
                         std::chrono::milliseconds beyond_quiet);

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_ROWS_H_
