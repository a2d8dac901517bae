// Learned state as bytes (learned_state_codec) and as a file between processes (SnapshotHandover).
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "helper.h"
#include "snapshot/learned_state_codec.h"
#include "upgrade/snapshot_handover.h"

namespace yokestream::test {
namespace {

using policy::LearnedState;

struct Names : config::RealSettings {
  Names() {
    classes = {"look", "load"};
    kinds = {"m"};
  }
};

LearnedState random_value(SeededRandom& steps) {
  const auto number = [&] { return static_cast<double>(steps.below(1000)) / 8; };
  const auto matrix = [&] { return policy::InterferenceWeights{{number(), number()}, {number(), number()}}; };
  LearnedState l;
  l.pool.observed_own_queries = 1 + number();
  l.pool.observed_all_queries = 1 + number();
  l.pool.mean_work_s = number();
  l.classes.resize(2);
  for (auto& c : l.classes) {
    c.bias = 1 + number();
    c.mean_log_slowdown = -number();
    c.work_factor = 1 + number();
  }
  l.kinds = {matrix()};
  for (std::size_t i = steps.below(4); i > 0; --i) {
    LearnedState::Engine e{{"engine-" + std::to_string(i)}, std::nullopt, {matrix(), {number(), number()}}};
    if (steps.below(2)) e.start_time = Time(Duration(steps.below(100000)));
    e.learned.ejected = steps.below(2) == 0;
    e.learned.log_slowdown = -number();
    l.engines.push_back(std::move(e));
  }
  return l;
}

const Time kThen{1000s};

TEST_CASE("learned state is decoded as it was encoded, with its age") {
  const Names names;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom steps(seed);
    const LearnedState value = random_value(steps);
    const auto read = snapshot::decode(snapshot::encode(value, names, kThen), names, kThen + 3s);
    REQUIRE(std::holds_alternative<snapshot::RestoredState>(read));
    CHECK(std::get<snapshot::RestoredState>(read).state == value);
    CHECK(std::get<snapshot::RestoredState>(read).age == 3s);
  }
}

// A half-written file, or one of other settings, would give the weights of one class to another.
TEST_CASE("bytes truncated or corrupt anywhere, of other names or another clock are rejected") {
  const Names names;
  SeededRandom steps(7);
  const std::string bytes = snapshot::encode(random_value(steps), names, kThen);
  const auto rejected = [&](const std::string& read, const config::RealSettings& as, Time now) {
    return std::holds_alternative<snapshot::DecodeError>(snapshot::decode(read, as, now));
  };
  for (std::size_t size = 0; size < bytes.size(); ++size)
    REQUIRE(rejected(bytes.substr(0, size), names, kThen));
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string bad = bytes;
    bad[at] = static_cast<char>(bad[at] ^ (1 << steps.below(8)));
    REQUIRE(rejected(bad, names, kThen));
  }
  CHECK(rejected(bytes + "x", names, kThen));
  CHECK(rejected(bytes, names, kThen - 1ns));
  Names other;
  other.classes = {"load", "look"};
  CHECK(rejected(bytes, other, kThen));
  CHECK_FALSE(rejected(bytes, names, kThen));
}

struct Shared : Names, dispatch::Log {
  Shared() { REQUIRE(::mkdtemp(path.data())); }
  ~Shared() override { std::filesystem::remove_all(path); }
  void write(std::string_view line) override { notes.emplace_back(line); }
  auto read() { return upgrade::SnapshotHandover::load(path, *this, *this); }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  std::vector<std::string> notes;
};

// A truncated file must not keep a successor from starting: it starts without what was learned.
TEST_CASE_FIXTURE(Shared, "the file holds the last offer; a corrupt file is ignored with one log line") {
  CHECK_FALSE(read().has_value());
  CHECK(notes.empty());  // a missing file is normal
  SeededRandom steps(3);
  const LearnedState value = random_value(steps);
  upgrade::SnapshotHandover handover(path, 0, *this);
  handover.offer(value);
  auto got = read();
  while (!got) got = read();
  CHECK(got->state == value);
  std::filesystem::resize_file(path + "/yokestream-learnt", 100);
  notes.clear();
  CHECK_FALSE(read().has_value());
  CHECK(notes.size() == 1);
}

// The shared folder may be gone while the process serves: the handover is lost, and nothing else.
TEST_CASE_FIXTURE(Shared, "a missing folder is neither an error nor a state") {
  upgrade::SnapshotHandover handover("/nowhere/at/all", 0, *this);
  SeededRandom steps(3);
  handover.offer(random_value(steps));
  CHECK_FALSE(upgrade::SnapshotHandover::load("/nowhere/at/all", *this, *this).has_value());
}

}  // namespace
}  // namespace yokestream::test
