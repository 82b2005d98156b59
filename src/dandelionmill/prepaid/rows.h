#ifndef SRC_DANDELIONMILL_PREPAID_ROWS_H_
#define SRC_DANDELIONMILL_PREPAID_ROWS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::prepaid {

// Location of the rows. Each account and each instance has its own part of the
// table, so that their transactions do not queue behind each other.
inline constexpr char kTable[] = "prepaid";
inline constexpr char kAccountPart[] = "account:";
inline constexpr char kInstancePart[] = "instance:";
inline constexpr char kTotalKey[] = "total";
inline constexpr char kHolderKey[] = "holder";

// What one process has added to a stored total.
struct Contribution {
  // Tokens drawn less those returned, since the contribution is listed.
  base::Tokens moved = 0;
  // HolderRow::sequence of the last change.
  std::uint64_t sequence = 0;
  // The store's steady clock at the last change.
  std::chrono::milliseconds as_of{0};
};

// The stored total of one client account.
struct AccountRow {
  // Tokens that holders have drawn and not returned. Never exceeds the prepaid
  // amount.
  base::Tokens drawn = 0;
  // Era of the store in which tokens may be drawn: after a restore, only once
  // the instances have added what the store has lost.
  std::uint64_t era = 0;
  // The latest era in which a process that lived through the restore has added
  // what it knew from earlier eras.
  std::uint64_t completed_era = 0;
  // The latest era in which tokens were written off.
  std::uint64_t written_off_era = 0;
  // Part of `drawn` that may never have been used: processes have ended whose
  // last rows the store has lost.
  base::Tokens written_off = 0;
  // The latest contributions to `drawn` by process.
  std::map<std::string, Contribution> contributions;
  // Fields of a later version of this program by name, as JSON text. They are
  // written again as they were read, since all instances write the same row.
  std::map<std::string, std::string> unknown_fields;
};

// Tokens of one account that an instance holds, and the limits on their use.
struct HolderShare {
  // Tokens drawn by this process and not returned.
  base::Tokens drawn = 0;
  // Upper bound of the drawn tokens that the process uses or reserves while the
  // row is valid.
  base::Tokens committed = 0;
  // Tokens per second that it may commit in addition once the row has expired,
  // see UseAfterExpiry.
  double rate_per_s = 0;
};

// The stored state of one instance as a holder. Only the process of that
// instance writes it.
struct HolderRow {
  // Unique for each start of the process.
  std::string process;
  // Incremented with each row that the process proposes.
  std::uint64_t sequence = 0;
  // The latest era of the store whose totals have all that the process knows. A
  // row of an earlier era than the store's may be older than what the process
  // stored last.
  std::uint64_t era = 0;
  // The store's steady clock, at or before the time when the row was stored; 0
  // if unknown.
  std::chrono::milliseconds as_of{0};
  // How long after `as_of` the process keeps to `committed`; the row expires
  // then unless another one is stored.
  std::chrono::milliseconds validity{0};
  std::map<base::AccountId, HolderShare> shares;
  // Accounts whose totals may lack what earlier processes of the instance have
  // drawn.
  std::set<base::AccountId> unsettled;
};

// Time after the expiry of a row from which on, for kLateUseTime,
// kLateRateFactor times its rate may be used. Most processes that end have a
// successor by then, so little is lost with them; one that lives has been cut
// off from the store for long, and requests wait that are larger than what the
// rate allows at once.
inline constexpr std::chrono::milliseconds kLateUseAfter{1600};
inline constexpr std::chrono::milliseconds kLateUseTime{600};
inline constexpr double kLateRateFactor = 2.5;

// Returns the tokens beyond HolderShare::committed that a process may commit by
// `since_expiry` after its row expired.
double UseAfterExpiry(const HolderShare& share,
                      std::chrono::duration<double> since_expiry);

std::string Encode(const AccountRow& row);
std::string Encode(const HolderRow& row);

// Decoders of stored rows. Both fail with kMalformedMessage and the parser's
// message.
base::Result<AccountRow> DecodeAccountRow(const std::string& text);
base::Result<HolderRow> DecodeHolderRow(const std::string& text);

// Returns the tokens beyond those of `share` that a terminated process may have
// used if later rows of it are lost. The same rates apply as in Recoverable.
base::Tokens UnaccountedUse(const HolderShare& share,
                            std::chrono::milliseconds since_expiry);

// Returns the tokens of `share` that a terminated process cannot have used, if
// it terminated no later than `since_expiry` after the row expired by the
// store's clock.
base::Tokens Recoverable(const HolderShare& share,
                         std::chrono::milliseconds since_expiry);

}  // namespace dandelionmill::prepaid

#endif  // SRC_DANDELIONMILL_PREPAID_ROWS_H_
