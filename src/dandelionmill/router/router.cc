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
#include "dandelionmill/router/http_front.h"
#include "dandelionmill/router/load_poller.h"
#include "dandelionmill/router/router_actor.h"
#include "dandelionmill/router/traffic.h"
#include "dandelionmill/settings/schema.h"
#include "dandelionmill/timer/timer_service.h"
#include "dandelionmill/wire/bus.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::router {
namespace {

constexpr int kIncarnationLength = 8;  // random letters
constexpr std::chrono::seconds kAskTimeout{5};

Identity MakeIdentity(const settings::Values& settings) {
  const std::string& instance = settings.Text("instance");
  return {
      base::RouterId(instance + "/" + base::RandomToken(kIncarnationLength)),
      base::InstanceId(instance), base::ZoneId(settings.Text("zone"))};
}

std::vector<net::Address> ControlsOf(const settings::Values& settings) {
  std::vector<net::Address> controls{settings.AddressOf("control_address")};
  const auto& fallback = settings.Addresses("fallback_controls");
  controls.insert(controls.end(), fallback.begin(), fallback.end());
  return controls;
}

net::AsyncHttpServer::Options FrontOptions(const settings::Values& settings) {
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

backend::AttemptStream::Tuning MakeTuning(const settings::Values& settings) {
  backend::AttemptStream::Tuning tuning;
  tuning.silent_after = settings.Duration("silent_after_ms");
  return tuning;
}

LoadPoller::Options PollOptions(const settings::Values& settings) {
  LoadPoller::Options options;
  options.period = settings.Duration("load_poll_ms");
  return options;
}

caf::actor_system_config SystemConfig() {
  caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

}  // namespace

class Router::Parts {
 public:
  explicit Parts(const settings::Values& settings)
      : identity_(MakeIdentity(settings)),
        seed_(base::StableHash(identity_.router.value())),
        watched_(static_cast<int>(settings.Integer("load_poll_backends"))),
        system_config_(SystemConfig()),
        system_(system_config_),
        metrics_(registry_),
        bus_({net::Address{}, identity_.router.value(),
              settings.Text("fleet_key"), settings.TextMap("address_map")},
             [this](const wire::Route& from, wire::Envelope message) {
               Send(BusMessage{from, std::make_shared<const wire::Envelope>(
                                         std::move(message))});
             }),
        traffic_(
            [this](RequestEvent event) {
              std::visit([this](auto& typed) { Send(std::move(typed)); },
                         event);
            },
            metrics_,
            MakeTuning(settings)),
        poller_(PollOptions(settings),
                [this](LoadPolled polled) { Send(std::move(polled)); }),
        actor_(system_.spawn<caf::detached>(
            RouterActor,
            std::make_shared<RouterState>(
                RouterState::Options{identity_, ControlsOf(settings), seed_},
                [this](const wire::Route& to, wire::Envelope message) {
                  return bus_.Send(to, std::move(message));
                },
                [this](const inventory::SnapshotPtr& config) {
                  Publish(config);
                },
                metrics_))),
        front_(loop_.loop(),
               FrontOptions(settings),
               traffic_,
               [this] { return IsHealthy(); }),
        admin_(
            {settings.AddressOf("admin_address"), settings.Text("admin_key")},
            registry_) {
    admin_.SetHealth([this] { return IsHealthy(); });
    admin_.SetDump([this] { return Dump(); });
    admin_.Post("/drain", [this](const std::string&) {
      leave_requested_ = true;
      return admin::AdminServer::Answer{200, R"({"leaving":true})"};
    });
  }

  ~Parts() { Stop(); }

  base::Status Start() {
    for (const base::Status& started :
         {bus_.Start(), front_.Start(), admin_.Start()}) {
      if (!base::IsOk(started))
        return started;
    }
    ticks_ = timers_.Subscribe(kTickPeriod,
                               [this](base::MonoTime) { Send(Tick{}); });
    log::Event(log::Level::kInfo, "started").With("router", identity_.router);
    return base::Unit{};
  }

  void BeginLeaving() {
    leaving_ = true;
    log::Event(log::Level::kInfo, "leaving").With("router", identity_.router);
    Send(Leave{});
  }

  void RefuseNew() { traffic_.RefuseNew(); }

  void Stop() {
    if (std::exchange(stopped_, true))
      return;
    front_.Stop();
    if (ticks_ != 0)
      timers_.Cancel(ticks_);
    poller_.Stop();
    admin_.Stop();
    bus_.Stop();
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    system_.await_all_actors_done();
  }

  bool IsLeaveRequested() const { return leave_requested_; }
  bool IsDrained() { return Ask(DrainedRequest{}, false); }
  std::string Dump() { return Ask(DumpRequest{}, std::string("{}")); }

 private:
  template <class Message>
  void Send(Message message) {
    caf::anon_send(actor_, std::move(message));
  }

  template <class Request, class Reply>
  Reply Ask(Request request, Reply otherwise) {
    caf::scoped_actor self(system_);
    Reply reply = std::move(otherwise);
    self->request(actor_, kAskTimeout, request)
        .receive([&](Reply& value) { reply = std::move(value); },
                 [](const caf::error&) {});
    return reply;
  }

  bool IsHealthy() const { return !leaving_ && traffic_.config() != nullptr; }

  void Publish(const inventory::SnapshotPtr& config) {
    traffic_.Publish(config);
    poller_.Watch(ChooseWatched(*config, identity_.zone, watched_, seed_),
                  *config);
  }

  const Identity identity_;
  const std::uint64_t seed_;
  const int watched_;
  // Runs the callers' connections; outlives the actor, which wakes them.
  net::LoopThread loop_;
  caf::actor_system_config system_config_;
  caf::actor_system system_;
  metrics::Registry registry_;
  RouterMetrics metrics_;
  wire::Bus bus_;
  Traffic traffic_;
  LoadPoller poller_;
  const caf::actor actor_;
  HttpFront front_;
  admin::AdminServer admin_;
  timer::TimerService timers_;
  timer::TimerService::Subscription ticks_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> leave_requested_{false};
  bool stopped_ = false;
};

Router::Router(const settings::Values& settings)
    : parts_(std::make_unique<Parts>(settings)) {}

Router::~Router() = default;

base::Status Router::Start() {
  return parts_->Start();
}

bool Router::IsLeaveRequested() const {
  return parts_->IsLeaveRequested();
}

void Router::BeginLeaving() {
  parts_->BeginLeaving();
}

void Router::RefuseNew() {
  parts_->RefuseNew();
}

void Router::Stop() {
  parts_->Stop();
}

bool Router::IsDrained() const {
  return parts_->IsDrained();
}

std::string Router::Dump() const {
  return parts_->Dump();
}

}  // namespace dandelionmill::router
