// The encoding of learned state, and its handover between processes in a file (SnapshotHandover).
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

LearnedState random_state(SeededRandom& random) {
  const auto number = [&] { return static_cast<double>(random.below(1000)) / 8; };
  const auto matrix = [&] { return policy::InterferenceWeights{{number(), number()}, {number(), number()}}; };
  LearnedState state;
  state.pool.observed_own_queries = 1 + number();
  state.pool.observed_all_queries = 1 + number();
  state.pool.mean_work_s = number();
  state.classes.resize(2);
  for (auto& c : state.classes) {
    c.bias = 1 + number();
    c.mean_log_slowdown = -number();
    c.work_factor = 1 + number();
  }
  state.kinds = {matrix()};
  for (std::size_t i = random.below(4); i > 0; --i) {
    LearnedState::Engine e{{"engine-" + std::to_string(i)}, std::nullopt, {matrix(), {number(), number()}}};
    if (random.below(2)) e.start_time = Time(Duration(random.below(100000)));
    e.learned.ejected = random.below(2) == 0;
    e.learned.log_slowdown = -number();
    state.engines.push_back(std::move(e));
  }
  return state;
}

const Time kEncodedAt{1000s};

TEST_CASE("decoding returns the encoded state and its age") {
  const Names names;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom random(seed);
    const LearnedState state = random_state(random);
    const auto decoded = snapshot::decode(snapshot::encode(state, names, kEncodedAt), names, kEncodedAt + 3s);
    REQUIRE(std::holds_alternative<snapshot::RestoredState>(decoded));
    CHECK(std::get<snapshot::RestoredState>(decoded).state == state);
    CHECK(std::get<snapshot::RestoredState>(decoded).age == 3s);
  }
}

// A truncated file, or one from a process with other settings, would assign values to the wrong class.
TEST_CASE("bytes that are truncated, corrupt, of other names or from the future are rejected") {
  const Names names;
  SeededRandom random(7);
  const std::string bytes = snapshot::encode(random_state(random), names, kEncodedAt);
  const auto rejected = [&](const std::string& input, const config::RealSettings& settings, Time now) {
    return std::holds_alternative<snapshot::DecodeError>(snapshot::decode(input, settings, now));
  };
  for (std::size_t size = 0; size < bytes.size(); ++size)
    REQUIRE(rejected(bytes.substr(0, size), names, kEncodedAt));
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string bad = bytes;
    bad[at] = static_cast<char>(bad[at] ^ (1 << random.below(8)));
    REQUIRE(rejected(bad, names, kEncodedAt));
  }
  CHECK(rejected(bytes + "x", names, kEncodedAt));
  CHECK(rejected(bytes, names, kEncodedAt - 1ns));
  Names other;
  other.classes = {"load", "look"};
  CHECK(rejected(bytes, other, kEncodedAt));
  CHECK_FALSE(rejected(bytes, names, kEncodedAt));
}

struct SharedFolder : Names, dispatch::Log {
  SharedFolder() { REQUIRE(::mkdtemp(path.data())); }
  ~SharedFolder() override { std::filesystem::remove_all(path); }
  void write(std::string_view line) override { log_lines.emplace_back(line); }
  auto load() { return upgrade::SnapshotHandover::load(path, *this, *this); }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  std::vector<std::string> log_lines;
};

// A truncated file must not prevent a successor from starting; it starts without learned state.
TEST_CASE_FIXTURE(SharedFolder,
                  "the file holds the state offered last; a corrupt file is ignored with one log line") {
  CHECK_FALSE(load().has_value());
  CHECK(log_lines.empty());  // a missing file is normal
  SeededRandom random(3);
  const LearnedState state = random_state(random);
  upgrade::SnapshotHandover handover(path, 0, *this);
  handover.offer(state);
  auto loaded = load();
  while (!loaded) loaded = load();
  CHECK(loaded->state == state);
  std::filesystem::resize_file(path + "/yokestream-learnt", 100);
  log_lines.clear();
  CHECK_FALSE(load().has_value());
  CHECK(log_lines.size() == 1);
}

// If the shared folder is removed while the process serves, only the handover may be lost.
TEST_CASE_FIXTURE(SharedFolder, "with a missing folder offer() and load() do nothing") {
  upgrade::SnapshotHandover handover("/nowhere/at/all", 0, *this);
  SeededRandom random(3);
  handover.offer(random_state(random));
  CHECK_FALSE(upgrade::SnapshotHandover::load("/nowhere/at/all", *this, *this).has_value());
}

}  // namespace
}  // namespace yokestream::test
