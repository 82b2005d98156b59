#include "dandelionmill/control/quarantine_module.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "dandelionmill/log/event.h"
#include "dandelionmill/routing/quarantine_wire.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::control {
namespace {

constexpr std::chrono::milliseconds kRouterTimeout{10000};
constexpr std::chrono::milliseconds kResendPeriod{2000};
// Limits memory use under a flood of records; normally there are few.
constexpr std::size_t kMaxRecords = 1000;

}  // namespace

void QuarantineModule::OnMessage(const wire::Route& from,
                                 const wire::Envelope& message) {
  if (message.has_router_hello()) {
    routers_[from].last_seen = now_;
    return;
  }
  if (!message.has_backend_crash() || !message.backend_crash().has_record())
    return;
  const wire::BackendCrash& crash = message.backend_crash();
  const routing::QuarantineRecord received =
      routing::ToRecord(crash.record(), now_);
  if (received.body_sha256.empty() ||
      (table_.Find(received.body_sha256) == nullptr &&
       table_.records().size() >= kMaxRecords))
    return;
  if (!table_.Merge(received))
    return;
  const routing::QuarantineRecord& record = *table_.Find(received.body_sha256);
  log::Event(log::Level::kWarning, "backend_crash")
      .With("body_sha256", record.body_sha256)
      .With("crashes", record.crashed.size())
      .With("cleared", record.cleared.size());
  SendToRouters(record, from);
  if (!crash.forwarded())
    SendToControls(record);
}

void QuarantineModule::OnTick(base::MonoTime now) {
  now_ = now;
  table_.Expire(now);
  for (auto router = routers_.begin(); router != routers_.end();) {
    router = now - router->second.last_seen > kRouterTimeout
                 ? routers_.erase(router)
                 : std::next(router);
  }
  if (now < next_resend_)
    return;
  next_resend_ = now + kResendPeriod;
  Resend();
}

void QuarantineModule::Resend() {
  const auto& members = context_.members.members;
  if (table_.records().empty() || members.empty())
    return;
  const membership::Member& member = members[next_member_++ % members.size()];
  for (const auto& [body, record] : table_.records()) {
    if (member.instance != context_.instance && member.reachable)
      Send(context_.bus.Connect(member.address), record, true);
    SendToRouters(record, wire::Route());
  }
}

void QuarantineModule::Send(const wire::Route& to,
                            const routing::QuarantineRecord& record,
                            bool forwarded) {
  wire::Envelope envelope;
  wire::BackendCrash& crash = *envelope.mutable_backend_crash();
  *crash.mutable_record() = routing::ToMessage(record, now_);
  crash.set_forwarded(forwarded);
  context_.bus.Send(to, std::move(envelope));
}

void QuarantineModule::SendToRouters(const routing::QuarantineRecord& record,
                                     const wire::Route& except) {
  for (const auto& [route, router] : routers_) {
    if (!(route == except))
      Send(route, record, true);
  }
}

void QuarantineModule::SendToControls(const routing::QuarantineRecord& record) {
  for (const membership::Member& member : context_.members.members) {
    if (member.instance != context_.instance && member.reachable)
      Send(context_.bus.Connect(member.address), record, true);
  }
}

void QuarantineModule::Dump(nlohmann::json& dump) const {
  for (const auto& [body, record] : table_.records()) {
    dump["quarantine"][body] = {
        {"crashes", record.crashed.size()},
        {"cleared", record.cleared.size()},
        {"quarantined",
         routing::StatusOf(record) == routing::QuarantineStatus::kQuarantined},
        {"remaining_ms",
         std::chrono::duration_cast<base::Millis>(record.expires_at - now_)
             .count()}};
  }
}

}  // namespace dandelionmill::control
