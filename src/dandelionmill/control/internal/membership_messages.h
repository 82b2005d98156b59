#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_MEMBERSHIP_MESSAGES_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_MEMBERSHIP_MESSAGES_H_

#include <google/protobuf/repeated_ptr_field.h>

#include <set>
#include <vector>

#include "dandelionmill/membership/gossip.h"
#include "dandelionmill/wire/membership.pb.h"

namespace dandelionmill::control::internal {

// Conversions between bus messages and membership types. An address that cannot
// be parsed becomes one with port 0.
membership::Rumor ToRumor(const wire::ControlInfo& info);
std::vector<membership::Rumor> ToRumors(
    const google::protobuf::RepeatedPtrField<wire::ControlInfo>& infos);
wire::ControlInfo ToControlInfo(const membership::Rumor& rumor);
std::set<base::BackendId> ToBackends(const wire::ListNews& news);

}  // namespace dandelionmill::control::internal

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_MEMBERSHIP_MESSAGES_H_
