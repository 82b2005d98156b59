#include "dandelionmill/gateway/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>

using dandelionmill::base::BackendId;
using dandelionmill::base::MonoTime;
using dandelionmill::base::ServiceId;
using dandelionmill::base::Tokens;
using dandelionmill::base::ZoneId;
using namespace dandelionmill::gateway;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

// Model engines in three availability zones and one instance.
struct Fixture {
  std::vector<BackendEntry> entries;
  Placement placement{7};
  PlacementRequest request;
  ModelRequest model_request;
  int request_count = 0;

  explicit Fixture(int engines, int slots = 64) {
    for (int i = 0; i < engines; ++i) {
      BackendEntry entry;
      entry.id = BackendId("engine-" + std::to_string(i));
      entry.service = ServiceId("model");
      entry.zone = ZoneId("zone-" + std::to_string(i % 3));
      entry.slots = slots;
      entries.push_back(entry);
    }
    placement.SetCacheTokens(ServiceId("model"), 600000);
    request.zone = ZoneId("zone-0");
    request.latency_objective = milliseconds(1000);
    request.bytes = 18000;
  }

  std::vector<const BackendEntry*> Usable() const {
    std::vector<const BackendEntry*> usable;
    for (const BackendEntry& entry : entries)
      usable.push_back(&entry);
    return usable;
  }

  void PrepareRequest(const std::string& topic, Tokens shared, Tokens own) {
    model_request.prompt_tokens = shared + own;
    model_request.max_output_tokens = 400;
    // The last part belongs to this request only.
    model_request.parts = {{topic, shared},
                           {"own-" + std::to_string(request_count++), own}};
    request.model = &model_request;
  }

  std::optional<PlacementChoice> Choose(int ms) {
    return placement.Choose(Usable(), request, At(ms));
  }

  BackendId Place(int ms) {
    const auto choice = Choose(ms);
    REQUIRE(choice);
    placement.OnSent(*choice->backend, request.model, choice->uncached_tokens,
                     At(ms));
    return choice->backend->id;
  }

  const BackendEntry& EntryOf(const BackendId& id) const {
    return *std::find_if(entries.begin(), entries.end(),
                         [&id](const auto& entry) { return entry.id == id; });
  }

  void Complete(const BackendId& id, Tokens tokens, int ms) {
    placement.OnFirstEvent(EntryOf(id), tokens, milliseconds(100),
                           milliseconds(100), At(ms));
    placement.OnEnded(EntryOf(id), AttemptEnd::kAnswered, At(ms));
  }
};

}  // namespace

TEST_CASE(
    "Instances in different zones choose the same engine for a shared prompt",
    "[gateway][hot_key]") {
  Fixture first_instance(9);
  Fixture second_instance(9);
  second_instance.request.zone = ZoneId("zone-1");
  for (int topic = 0; topic < 30; ++topic) {
    first_instance.PrepareRequest("topic-" + std::to_string(topic), 4870, 6000);
    second_instance.PrepareRequest("topic-" + std::to_string(topic), 4870,
                                   6000);
    const auto first = first_instance.Choose(0);
    const auto second = second_instance.Choose(0);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->backend->id == second->backend->id);
  }
}

TEST_CASE("A shared prompt requested often is copied to the local zone",
          "[gateway][hot_key]") {
  Fixture fixture(9);
  // A topic whose home is in another zone.
  int topic = 0;
  for (;; ++topic) {
    fixture.PrepareRequest("topic-" + std::to_string(topic), 4870, 6000);
    if (fixture.Choose(0)->backend->zone != ZoneId("zone-0"))
      break;
  }
  int cross_zone_count = 0;
  int ms = 0;
  for (; ms < 60000; ms += 1000) {
    fixture.PrepareRequest("topic-" + std::to_string(topic), 4870, 6000);
    const BackendId id = fixture.Place(ms);
    fixture.Complete(id, 6000, ms + 500);
    const bool is_local = std::any_of(
        fixture.entries.begin(), fixture.entries.end(), [&](const auto& entry) {
          return entry.id == id && entry.zone == ZoneId("zone-0");
        });
    if (is_local)
      break;
    ++cross_zone_count;
  }
  // Prefill of 4,870 tokens costs as much as 229 kB of traffic; each request
  // transfers 18 kB.
  CHECK(cross_zone_count >= 8);
  CHECK(cross_zone_count <= 16);
}

TEST_CASE("A hot prompt is spread over several engines when its home is busy",
          "[gateway][hot_key][burst]") {
  Fixture fixture(9);
  fixture.PrepareRequest("hot", 4870, 6600);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 60; ++i) {
    fixture.PrepareRequest("hot", 4870, 6600);
    ++sent[fixture.Place(0)];
  }
  CHECK(sent.size() >= 4);
  for (const auto& [id, count] : sent)
    CHECK(count <= 30);
}

TEST_CASE("A burst of different prompts is spread over all engines",
          "[gateway][burst]") {
  Fixture fixture(9);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 180; ++i) {
    fixture.PrepareRequest("topic-" + std::to_string(i), 4870, 6600);
    ++sent[fixture.Place(0)];
  }
  CHECK(sent.size() == 9);
  for (const auto& [id, count] : sent)
    CHECK(count <= 40);
}

TEST_CASE("A slow engine gets fewer requests", "[gateway][srv_slow]") {
  Fixture fixture(9);
  const BackendId slow("engine-0");
  for (int i = 0; i < 30; ++i)
    fixture.placement.OnFirstEvent(fixture.EntryOf(slow), 0, milliseconds(1500),
                                   milliseconds(150), At(i));
  int to_slow = 0;
  for (int i = 0; i < 90; ++i) {
    fixture.PrepareRequest("topic-" + std::to_string(i), 500, 1500);
    to_slow += fixture.Place(100) == slow ? 1 : 0;
  }
  CHECK(to_slow <= 5);
}

TEST_CASE("A failing engine is not used until its failures have decayed",
          "[gateway][srv_grey]") {
  Fixture fixture(3);
  const BackendId failing("engine-0");
  const auto count_sent_to_failing = [&](int ms) {
    int count = 0;
    for (int i = 0; i < 30; ++i) {
      fixture.PrepareRequest("topic-" + std::to_string(i), 0, 1500);
      const auto choice = fixture.Choose(ms);
      count += choice->backend->id == failing ? 1 : 0;
    }
    return count;
  };
  for (int i = 0; i < 10; ++i)
    fixture.placement.OnEnded(fixture.EntryOf(failing), AttemptEnd::kFailed,
                              At(i));
  CHECK(count_sent_to_failing(50) == 0);
  CHECK(count_sent_to_failing(60000) > 0);
}

TEST_CASE("A crashed engine is ejected and used only if there is no other",
          "[gateway][srv_crash]") {
  Fixture fixture(2);
  fixture.placement.OnEnded(fixture.EntryOf(BackendId("engine-0")),
                            AttemptEnd::kBroken, At(0));
  fixture.PrepareRequest("topic", 100, 100);
  CHECK(fixture.Choose(10)->backend->id == BackendId("engine-1"));
  fixture.request.excluded = {BackendId("engine-1")};
  CHECK(fixture.Choose(10)->backend->id == BackendId("engine-0"));
  fixture.request.excluded.insert(BackendId("engine-0"));
  CHECK_FALSE(fixture.Choose(10));
}

TEST_CASE("Prompts whose home was removed go to other engines",
          "[gateway][scale_in]") {
  Fixture fixture(9);
  fixture.PrepareRequest("topic", 4870, 6600);
  const BackendId home = fixture.Choose(0)->backend->id;
  fixture.entries.erase(
      std::remove_if(fixture.entries.begin(), fixture.entries.end(),
                     [&](const auto& entry) { return entry.id == home; }),
      fixture.entries.end());
  std::map<std::string, BackendId> homes;
  for (int i = 0; i < 20; ++i) {
    fixture.PrepareRequest("topic-" + std::to_string(i), 4870, 6600);
    CHECK(fixture.Choose(0)->backend->id != home);
  }
}

TEST_CASE("Reported load of an engine counts in addition to own requests",
          "[gateway][burst]") {
  Fixture fixture(3);
  fixture.request.zone = ZoneId("zone-0");
  fixture.placement.OnLoad(fixture.EntryOf(BackendId("engine-0")), {64, 40, 64},
                           At(0));
  fixture.PrepareRequest("topic", 0, 1500);
  CHECK(fixture.Choose(10)->backend->id != BackendId("engine-0"));
  // Old reports lose their weight.
  CHECK(fixture.Choose(10000)->backend->id == BackendId("engine-0"));
}

// Guards against shared prompts that are read again at another engine for a
// wait that would have met the objective, and against waiting at a home that is
// late.
TEST_CASE(
    "On shared machines the home of a shared prompt is kept until its expected "
    "wait would miss the objective",
    "[gateway][shared_machines_waves]") {
  Fixture fixture(9, 24);
  fixture.PrepareRequest("topic", 5382, 6618);
  const BackendId home = fixture.Choose(0)->backend->id;
  const auto report = [&](const BackendId& id, int running, int waiting) {
    for (int ms = 0; ms < 10; ++ms)
      fixture.placement.OnLoad(fixture.EntryOf(id),
                               {running, waiting, 24, 100.0}, At(ms));
  };
  for (const BackendEntry& entry : fixture.entries)
    report(entry.id, 2, 0);
  SECTION("a busy home") {
    report(home, 24, 10);
    const auto choice = fixture.Choose(20);
    CHECK(choice->backend->id == home);
    CHECK(choice->expected_wait > milliseconds(400));
    REQUIRE(choice->load);
    CHECK(choice->load->others > 12);
    CHECK(choice->load_age == milliseconds(11));
  }
  SECTION("a home with a long queue") {
    report(home, 24, 72);
    CHECK(fixture.Choose(20)->backend->id != home);
  }
  SECTION("a home that fails") {
    for (int i = 0; i < 20; ++i)
      fixture.placement.OnEnded(fixture.EntryOf(home), AttemptEnd::kFailed,
                                At(i));
    report(home, 24, 20);
    CHECK(fixture.Choose(30)->backend->id != home);
  }
}

// Guards against machines that are slower all the time and get as many requests
// as the others.
TEST_CASE("On shared machines slow and busy servers get fewer requests",
          "[gateway][shared_machines_waves]") {
  Fixture fixture(3, 24);
  for (BackendEntry& entry : fixture.entries)
    entry.zone = ZoneId("zone-0");
  const bool is_slow = GENERATE(true, false);
  for (int ms = 0; ms < 2000; ms += 100) {
    for (std::size_t i = 0; i < fixture.entries.size(); ++i) {
      const bool is_first = i == 0;
      fixture.placement.OnLoad(fixture.entries[i],
                               {is_first && !is_slow ? 20 : 8, 0, 24,
                                is_first && is_slow ? 150.0 : 100.0},
                               At(ms));
    }
  }
  fixture.request.latency_objective = milliseconds(300);
  SECTION("requests to model engines") {
    for (int i = 0; i < 20; ++i) {
      fixture.PrepareRequest("", 0, 1500);
      CHECK(fixture.Choose(2000)->backend->id != BackendId("engine-0"));
    }
  }
  SECTION("requests to plain services") {
    for (int i = 0; i < 20; ++i)
      CHECK(fixture.Choose(2000)->backend->id != BackendId("engine-0"));
  }
}

// Guards against estimates from an earlier start of a server.
TEST_CASE("A report of an earlier start does not change the estimate",
          "[gateway][shared_machines_waves]") {
  Fixture fixture(1, 24);
  const BackendEntry earlier = fixture.entries[0];
  fixture.placement.OnLoad(earlier, {24, 10, 24, 300.0}, At(0));
  ++fixture.entries[0].incarnation;
  fixture.PrepareRequest("topic", 0, 1500);
  REQUIRE(fixture.Choose(10));
  fixture.placement.OnLoad(earlier, {24, 10, 24, 300.0}, At(20));
  const auto choice = fixture.Choose(30);
  CHECK(choice->load_age == std::nullopt);
  // Only the mean of the service remains.
  REQUIRE(choice->load);
  CHECK(choice->load->waiting == 0);
  CHECK(choice->load->work_time == 1);
}

// Guards against a log that holds nothing but the malformed reports of one
// server, which come with every response.
TEST_CASE("A malformed load report is logged once in ten seconds for a server",
          "[gateway]") {
  Fixture fixture(2);
  const auto log = [&](int server, int ms) {
    return fixture.placement.OnMalformedLoad(fixture.entries[server], At(ms));
  };
  CHECK(log(0, 0));
  CHECK_FALSE(log(0, 1));
  CHECK(log(1, 1));
  CHECK_FALSE(log(0, 9999));
  CHECK(log(0, 10000));
}

// Guards against a start of an engine that is avoided for what broke at the one
// before, and noticed only after the new one was listed.
TEST_CASE("What an earlier start does late says nothing of the listed one",
          "[gateway][srv_crash]") {
  Fixture fixture(3);
  fixture.PrepareRequest("topic", 0, 1500);
  const BackendEntry earlier = fixture.entries[0];
  REQUIRE(fixture.Place(0) == earlier.id);
  ++fixture.entries[0].incarnation;
  REQUIRE(fixture.Choose(10)->in_flight == 1);
  SECTION("its attempt breaks") {
    fixture.placement.OnPromptDropped(earlier.id, 1500);
    fixture.placement.OnEnded(earlier, AttemptEnd::kBroken, At(20));
  }
  SECTION("it reports its load") {
    fixture.placement.OnLoad(earlier, {64, 40, 64}, At(20));
    fixture.placement.OnPromptDropped(earlier.id, 1500);
    fixture.placement.OnEnded(earlier, AttemptEnd::kAnswered, At(20));
  }
  SECTION("it is slow") {
    fixture.placement.OnFirstEvent(earlier, 1500, milliseconds(60000),
                                   milliseconds(1), At(20));
    fixture.placement.OnEnded(earlier, AttemptEnd::kAnswered, At(20));
  }
  const auto choice = fixture.Choose(30);
  CHECK(choice->backend->id == earlier.id);
  // The attempt no longer counts as in progress.
  CHECK(choice->in_flight == 0);
  CHECK(choice->load_age == std::nullopt);
  // Prefill alone, as at an idle engine.
  CHECK(choice->expected_wait < milliseconds(40));
}

TEST_CASE("Plain requests stay in the local zone until it is busy",
          "[gateway][burst]") {
  Fixture fixture(3, 6);
  fixture.request.bytes = 1500;
  fixture.request.latency_objective = milliseconds(300);
  int local_count = 0;
  for (int i = 0; i < 4; ++i)
    local_count += fixture.Place(0) == BackendId("engine-0") ? 1 : 0;
  CHECK(local_count == 4);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 30; ++i)
    ++sent[fixture.Place(0)];
  CHECK(sent.size() == 3);
}

TEST_CASE("An engine at its connection limit is not chosen",
          "[gateway][burst]") {
  Fixture fixture(1);
  fixture.request.max_in_flight = 3;
  fixture.PrepareRequest("topic", 0, 10);
  for (int i = 0; i < 3; ++i)
    fixture.Place(0);
  CHECK_FALSE(fixture.Choose(0));
}

TEST_CASE("The least recently used prompt parts are evicted first",
          "[gateway]") {
  PromptCacheEstimate cache(1000);
  cache.Add({{"a", 400}, {"b", 400}});
  cache.Add({{"a", 400}});
  cache.Add({{"c", 400}});
  CHECK(cache.CachedTokens({{"a", 400}, {"c", 400}}) == 800);
  CHECK(cache.CachedTokens({{"b", 400}}) == 0);
  // A part counts only if all parts before it are cached.
  CHECK(cache.CachedTokens({{"b", 400}, {"c", 400}}) == 0);
}
