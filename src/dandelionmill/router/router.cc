#include "dandelionmill/router/router.h"

#include <caf/all.hpp>

#include <atomic>
#include <utility>
#include <vector>

#include "dandelionmill/admin/admin_server.h"
#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/net/loop_thread.h"
#include "dandelionmill/router/http_frontend.h"
#include "dandelionmill/router/load_poller.h"
#include "dandelionmill/router/router_actor.h"
#include "dandelionmill/router/router_context.h"
#include "dandelionmill/settings/schema.h"
#include "dandelionmill/timer/timer_service.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::router {
namespace {

// Random characters that distinguish the process from earlier ones of the same
// instance.
constexpr int kIncarnationLength = 8;
constexpr std::chrono::seconds kActorRequestTimeout{5};

Identity MakeIdentity(const settings::Values& settings) {
  const std::string& instance = settings.Text("instance");
  return {
      base::RouterId(instance + "/" + base::RandomToken(kIncarnationLength)),
      base::InstanceId(instance), base::ZoneId(settings.Text("zone"))};
}

std::vector<net::Address> ControlAddresses(const settings::Values& settings) {
  std::vector<net::Address> controls{settings.AddressOf("control_address")};
  const auto& others = settings.Addresses("fallback_controls");
  controls.insert(controls.end(), others.begin(), others.end());
  return controls;
}

net::AsyncHttpServer::Options FrontendOptions(
    const settings::Values& settings) {
  net::AsyncHttpServer::Options options;
  options.bind = settings.AddressOf("listen_address");
  options.max_connections =
      static_cast<int>(settings.Integer("max_connections"));
  options.max_body =
      static_cast<std::size_t>(settings.Integer("max_body_bytes"));
  options.io_timeout = settings.Duration("caller_io_timeout_ms");
  options.keep_alive = settings.Duration("keep_alive_ms");
  options.certificate_file = settings.Text("tls_certificate_file");
  options.key_file = settings.Text("tls_key_file");
  return options;
}

backend::AttemptStream::Timeouts MakeTimeouts(
    const settings::Values& settings) {
  backend::AttemptStream::Timeouts timeouts;
  timeouts.silent_after = settings.Duration("silent_after_ms");
  return timeouts;
}

LoadPoller::Options PollOptions(const settings::Values& settings) {
  LoadPoller::Options options;
  options.period = settings.Duration("load_poll_ms");
  return options;
}

caf::actor_system_config MakeActorSystemConfig() {
  caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

}  // namespace

class Router::Impl {
 public:
  explicit Impl(const settings::Values& settings)
      : identity_(MakeIdentity(settings)),
        seed_(base::StableHash(identity_.router.value())),
        max_polled_backends_(
            static_cast<int>(settings.Integer("load_poll_backends"))),
        system_config_(MakeActorSystemConfig()),
        system_(system_config_),
        metrics_(registry_),
        bus_({net::Address{}, identity_.router.value(),
              settings.Text("fleet_key"), settings.TextMap("address_map")},
             [this](const wire::Route& from, wire::Envelope message) {
               SendToActor(BusMessage{
                   from,
                   std::make_shared<const wire::Envelope>(std::move(message))});
             }),
        context_(
            [this](RequestEvent event) {
              std::visit([this](auto& typed) { SendToActor(std::move(typed)); },
                         event);
            },
            metrics_,
            MakeTimeouts(settings)),
        poller_(
            PollOptions(settings),
            [this](LoadPollResult polled) { SendToActor(std::move(polled)); }),
        actor_(system_.spawn<caf::detached>(
            RouterActor,
            std::make_shared<RouterState>(
                RouterState::Options{identity_, ControlAddresses(settings),
                                     seed_},
                [this](const wire::Route& to, wire::Envelope message) {
                  return bus_.Send(to, std::move(message));
                },
                [this](const inventory::SnapshotPtr& config) {
                  Publish(config);
                },
                metrics_))),
        frontend_(loop_.loop(),
                  FrontendOptions(settings),
                  context_,
                  [this] { return IsHealthy(); }),
        admin_(
            {settings.AddressOf("admin_address"), settings.Text("admin_key")},
            registry_) {
    admin_.SetHealth([this] { return IsHealthy(); });
    admin_.SetDump([this] { return Dump(); });
    admin_.Post("/drain", [this](const std::string&) {
      leave_requested_ = true;
      return admin::AdminServer::Response{200, R"({"leaving":true})"};
    });
  }

  ~Impl() { Stop(); }

  base::Status Start() {
    for (const base::Status& started :
         {bus_.Start(), frontend_.Start(), admin_.Start()}) {
      if (!base::IsOk(started))
        return started;
    }
    tick_subscription_ = timers_.Subscribe(
        kTickPeriod, [this](base::MonoTime) { SendToActor(Tick{}); });
    log::Event(log::Level::kInfo, "started").With("router", identity_.router);
    return base::Unit{};
  }

  void BeginDrain() {
    leaving_ = true;
    log::Event(log::Level::kInfo, "leaving").With("router", identity_.router);
    SendToActor(Leave{});
  }

  void RefuseNewRequests() { context_.RefuseNewRequests(); }

  void Stop() {
    if (std::exchange(stopped_, true))
      return;
    frontend_.Stop();
    if (tick_subscription_ != 0)
      timers_.Cancel(tick_subscription_);
    poller_.Stop();
    admin_.Stop();
    bus_.Stop();
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    system_.await_all_actors_done();
  }

  bool IsShutdownRequested() const { return leave_requested_; }
  bool IsDrained() { return RequestFromActor(DrainedRequest{}, false); }
  std::string Dump() {
    return RequestFromActor(DumpRequest{}, std::string("{}"));
  }

 private:
  template <class Message>
  void SendToActor(Message message) {
    caf::anon_send(actor_, std::move(message));
  }

  template <class Request, class Reply>
  Reply RequestFromActor(Request request, Reply fallback) {
    caf::scoped_actor self(system_);
    Reply reply = std::move(fallback);
    self->request(actor_, kActorRequestTimeout, request)
        .receive([&](Reply& value) { reply = std::move(value); },
                 [](const caf::error&) {});
    return reply;
  }

  bool IsHealthy() const { return !leaving_ && context_.config() != nullptr; }

  void Publish(const inventory::SnapshotPtr& config) {
    context_.Publish(config);
    poller_.SetBackends(SelectPolledBackends(*config, identity_.zone,
                                             max_polled_backends_, seed_),
                        *config);
  }

  const Identity identity_;
  const std::uint64_t seed_;
  const int max_polled_backends_;
  // Runs the callers' connections. Outlives the actor, which posts to it.
  net::LoopThread loop_;
  caf::actor_system_config system_config_;
  caf::actor_system system_;
  metrics::Registry registry_;
  RouterMetrics metrics_;
  wire::Bus bus_;
  RouterContext context_;
  LoadPoller poller_;
  const caf::actor actor_;
  HttpFrontend frontend_;
  admin::AdminServer admin_;
  timer::TimerService timers_;
  timer::TimerService::Subscription tick_subscription_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> leave_requested_{false};
  bool stopped_ = false;
};

Router::Router(const settings::Values& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Router::~Router() = default;

base::Status Router::Start() {
  return impl_->Start();
}

bool Router::IsShutdownRequested() const {
  return impl_->IsShutdownRequested();
}

void Router::BeginDrain() {
  impl_->BeginDrain();
}

void Router::RefuseNewRequests() {
  impl_->RefuseNewRequests();
}

void Router::Stop() {
  impl_->Stop();
}

bool Router::IsDrained() const {
  return impl_->IsDrained();
}

std::string Router::Dump() const {
  return impl_->Dump();
}

}  // namespace dandelionmill::router
