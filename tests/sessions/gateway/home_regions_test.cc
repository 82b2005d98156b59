#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

constexpr int kRequests = 10;

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

Answer Break(const Request&) {
  return {{}, Answer::Then::kReset};
}

// A configuration in which the route /safe/ has these home regions.
json StateWithHome(int version, const json& home) {
  json state = DesiredState(version);
  state["routes"][0]["homeRegions"] = home;
  return state;
}

// A gateway in the region "home" with a backend server there and one in the
// region "abroad".
class HomeRegionsFixture : public GatewayFixture {
 public:
  explicit HomeRegionsFixture(const json& state)
      : GatewayFixture(state),
        home(AddEngine("home", WholeAnswer)),
        abroad(AddEngine("abroad", WholeAnswer, "v1", "south")) {}

  void Configure(const json& state) {
    store.Put("op", "config", state);
    std::this_thread::sleep_for(milliseconds(300));
  }
  void SendSome() {
    for (int i = 0; i < kRequests; ++i)
      CHECK(Send("/safe/x").status == 200);
  }

  ScriptedEngine& home;
  ScriptedEngine& abroad;
};

}  // namespace

// Guards against a request that reaches a backend server outside its home
// regions when it is placed, or when it is retried.
TEST_CASE("A request with home regions reaches no backend server elsewhere",
          "[gateway][home_regions]") {
  HomeRegionsFixture fixture(StateWithHome(1, {"abroad"}));
  fixture.SendSome();
  CHECK(fixture.home.requests().empty());

  fixture.abroad.SetScript(Break);
  CHECK(fixture.Send("/safe/x").status == 502);
  CHECK(fixture.home.requests().empty());
}

// Guards against home regions that are taken from the configuration in which a
// request, or the process, began.
TEST_CASE("Changed home regions are in force with their configuration",
          "[gateway][home_regions]") {
  HomeRegionsFixture fixture(StateWithHome(1, {"abroad"}));
  fixture.Configure(StateWithHome(2, {"home"}));
  fixture.SendSome();
  CHECK(fixture.abroad.requests().empty());

  SECTION("one that names an unknown region is not put in force") {
    fixture.Configure(StateWithHome(3, {"abroda"}));
    fixture.SendSome();
    CHECK(fixture.abroad.requests().empty());
  }
  SECTION("one of another type is not put in force") {
    fixture.Configure(StateWithHome(3, "abroad"));
    fixture.SendSome();
    CHECK(fixture.abroad.requests().empty());
  }
  SECTION("a retry uses the newest") {
    fixture.home.SetScript([&fixture](const Request&) {
      fixture.store.Put("op", "config", StateWithHome(3, {"abroad"}));
      Answer answer = Break({});
      answer.steps.push_back({"", milliseconds(200)});
      return answer;
    });
    CHECK(fixture.Send("/safe/x").status == 200);
    CHECK(fixture.abroad.requests().size() == 1);
  }
  SECTION("without a region in common with the account nothing is sent") {
    json state = StateWithHome(3, {"home"});
    state["tenants"][0]["homeRegions"] = {"abroad"};
    fixture.Configure(state);
    const std::size_t sent = fixture.home.requests().size();
    const Received received = fixture.Send("/safe/x");
    CHECK(received.status == 503);
    CHECK(json::parse(received.body)["ran"] == "no");
    CHECK(received.fields.count("Retry-After") == 1);
    CHECK(fixture.home.requests().size() == sent);
    CHECK(fixture.abroad.requests().empty());
  }
}

// Guards against a retry without a backend server that is tried again at once,
// until the service's allowance of retries is used up for all its requests.
TEST_CASE("A retry that finds no backend server takes one from the allowance",
          "[gateway][home_regions]") {
  HomeRegionsFixture fixture(StateWithHome(1, {"abroad"}));
  fixture.abroad.SetScript(Break);
  CHECK(fixture.Send("/safe/x").status == 502);
  fixture.Configure(DesiredState(2));
  fixture.abroad.SetScript(WholeAnswer);
  fixture.home.SetScript(Break);
  CHECK(fixture.Send("/safe/x").status == 200);
  CHECK(fixture.home.requests().size() == 1);
}

}  // namespace gateway_test
