#include "dandelionmill/control/control.h"

#include <caf/all.hpp>

#include <atomic>
#include <utility>

#include "dandelionmill/admin/admin_server.h"
#include "dandelionmill/base/digest.h"
#include "dandelionmill/control/budget_module.h"
#include "dandelionmill/control/config_module.h"
#include "dandelionmill/control/control_actor.h"
#include "dandelionmill/control/membership_module.h"
#include "dandelionmill/control/orders_module.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/control/quarantine_module.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/settings/schema.h"
#include "dandelionmill/storage/http_platform.h"
#include "dandelionmill/timer/timer_service.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"

namespace dandelionmill::control {
namespace {

constexpr int kIncarnationLength = 8;  // random letters of the holder id
constexpr std::chrono::seconds kActorTimeout{5};
// A control has many peers and sends to each of them rarely.
constexpr std::chrono::milliseconds kIdleConnectionTimeout{30000};

// Adds all modules, in the order in which they receive messages.
void AddModules(ControlState& state) {
  state.Add(std::make_unique<MembershipModule>(state.context()));
  state.Add(std::make_unique<ConfigModule>(state.context()));
  state.Add(std::make_unique<BudgetModule>(state.context()));
  state.Add(std::make_unique<QuarantineModule>(state.context()));
  state.Add(std::make_unique<OrdersModule>(state.context()));
}

caf::actor_system_config ActorConfig() {
  caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

storage::PlatformAddress PlatformAddressOf(const settings::Values& settings) {
  return {settings.AddressOf("platform_address"), settings.Text("platform_key"),
          settings.Duration("platform_timeout_ms")};
}

}  // namespace

class Control::Impl {
 public:
  explicit Impl(const settings::Values& settings)
      : holder_(settings.Text("instance") + "/" +
                base::RandomToken(kIncarnationLength)),
        config_(ActorConfig()),
        system_(config_),
        bus_({settings.AddressOf("bus_address"), holder_.value(),
              settings.Text("fleet_key"), settings.TextMap("address_map"),
              kIdleConnectionTimeout},
             [this](const wire::Route& from, wire::Envelope message) {
               caf::anon_send(
                   actor_,
                   BusMessage{from, std::make_shared<const wire::Envelope>(
                                        std::move(message))});
             }),
        platform_(std::make_shared<storage::HttpTableStore>(
                      PlatformAddressOf(settings)),
                  std::make_shared<storage::HttpObjectStore>(
                      PlatformAddressOf(settings)),
                  std::make_shared<storage::HttpInstanceList>(
                      PlatformAddressOf(settings)),
                  static_cast<int>(settings.Integer("platform_threads")),
                  [this](std::function<void()> run) {
                    caf::anon_send(actor_, Task{std::move(run)});
                  }),
        state_(std::make_shared<ControlState>(
            Context{settings, holder_,
                    base::InstanceId(settings.Text("instance")),
                    base::ZoneId(settings.Text("zone")),
                    base::RegionId(settings.Text("region")), bus_, calls_,
                    platform_, metrics_, nullptr, membership::View{}, false},
            calls_)),
        admin_(
            {settings.AddressOf("admin_address"), settings.Text("admin_key")},
            metrics_) {
    AddModules(*state_);
    actor_ = system_.spawn<caf::detached>(ControlActor, state_);
    AddAdminRoutes();
  }

  ~Impl() { Stop(); }

  base::Status Start() {
    for (const base::Status& started : {bus_.Start(), admin_.Start()}) {
      if (!base::IsOk(started))
        return started;
    }
    tick_subscription_ = timers_.Subscribe(
        kTickPeriod,
        [this](base::MonoTime now) { caf::anon_send(actor_, Tick{now}); });
    log::Event(log::Level::kInfo, "started").With("holder", holder_);
    return base::Unit{};
  }

  void BeginDrain() {
    leaving_ = true;
    log::Event(log::Level::kInfo, "leaving").With("holder", holder_);
    caf::anon_send(actor_, Leave{});
  }

  void Stop() {
    if (stopped_)
      return;
    stopped_ = true;
    timers_.Cancel(tick_subscription_);
    admin_.Stop();
    bus_.Stop();
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    system_.await_all_actors_done();
  }

  const base::HolderId& holder() const { return holder_; }
  bool IsShutdownRequested() const { return leave_requested_; }
  bool IsDrained() { return Query(DrainedRequest{}, false); }
  std::string Dump() { return Query(DumpRequest{}, std::string("{}")); }

 private:
  void AddAdminRoutes() {
    admin_.SetHealth([this] { return !leaving_ && !leave_requested_; });
    admin_.SetDump([this] { return Dump(); });
    admin_.Post("/drain", [this](const std::string&) {
      leave_requested_ = true;
      return admin::AdminServer::Response{200, R"({"leaving":true})"};
    });
  }

  template <class Request, class Reply>
  Reply Query(Request request, Reply fallback) {
    caf::scoped_actor self(system_);
    Reply reply = std::move(fallback);
    self->request(actor_, kActorTimeout, request)
        .receive([&](const Reply& value) { reply = value; },
                 [](const caf::error&) {});
    return reply;
  }

  const base::HolderId holder_;
  caf::actor_system_config config_;
  caf::actor_system system_;
  caf::actor actor_;
  metrics::Registry metrics_;
  wire::PendingCalls calls_;
  wire::Bus bus_;
  PlatformIo platform_;
  std::shared_ptr<ControlState> state_;
  admin::AdminServer admin_;
  timer::TimerService timers_;
  timer::TimerService::Subscription tick_subscription_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> leave_requested_{false};
  bool stopped_ = false;
};

Control::Control(const settings::Values& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Control::~Control() = default;

base::Status Control::Start() {
  return impl_->Start();
}

void Control::BeginDrain() {
  impl_->BeginDrain();
}

void Control::Stop() {
  impl_->Stop();
}

const base::HolderId& Control::holder() const {
  return impl_->holder();
}

bool Control::IsShutdownRequested() const {
  return impl_->IsShutdownRequested();
}

bool Control::IsDrained() const {
  return impl_->IsDrained();
}

std::string Control::Dump() const {
  return impl_->Dump();
}

}  // namespace dandelionmill::control
