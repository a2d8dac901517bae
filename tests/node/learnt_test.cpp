// What was learnt as bytes: round, spoilt anywhere, of other settings; and as a file between processes.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "helper.h"
#include "net/hand_over.h"
#include "snapshot/learned_state_codec.h"

namespace yokestream::test {
namespace {

using policy::LearnedState;

struct Names : config::RealSettings {
  Names() { classes = {"look", "load"}, kinds = {"m"}; }
};

LearnedState random_value(Steps& steps) {
  const auto number = [&] { return static_cast<double>(steps.below(1000)) / 8; };
  const auto matrix = [&] { return policy::InterferenceWeights{{number(), number()}, {number(), number()}}; };
  LearnedState l;
  l.pool.observed_own_queries = 1 + number(), l.pool.observed_all_queries = 1 + number(),
  l.pool.mean_work_s = number();
  l.classes.resize(2);
  for (auto& c : l.classes)
    c.bias = 1 + number(), c.mean_log_slowdown = -number(), c.work_factor = 1 + number();
  l.kinds = {matrix()};
  for (std::size_t i = steps.below(4); i > 0; --i) {
    LearnedState::Engine e{{"engine-" + std::to_string(i)}, std::nullopt, {matrix(), {number(), number()}}};
    if (steps.below(2)) e.start_time = Time(Duration(steps.below(100000)));
    e.learned.ejected = steps.below(2) == 0, e.learned.log_slowdown = -number();
    l.engines.push_back(std::move(e));
  }
  return l;
}

const Time kThen{1000s};

TEST_CASE("what was learnt comes back as it was, with its age") {
  const Names names;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    Steps steps(seed);
    const LearnedState value = random_value(steps);
    const auto read = snapshot::decode(snapshot::encode(value, names, kThen), names, kThen + 3s);
    REQUIRE(std::holds_alternative<snapshot::RestoredState>(read));
    CHECK(std::get<snapshot::RestoredState>(read).state == value);
    CHECK(std::get<snapshot::RestoredState>(read).age == 3s);
  }
}

TEST_CASE("bytes that are cut short, spoilt anywhere, of other names or another clock give nothing") {
  const Names names;
  Steps steps(7);
  const std::string bytes = snapshot::encode(random_value(steps), names, kThen);
  const auto refused = [&](const std::string& read, const config::RealSettings& as, Time now) {
    return std::holds_alternative<std::string>(snapshot::decode(read, as, now));
  };
  for (std::size_t size = 0; size < bytes.size(); ++size)
    REQUIRE(refused(bytes.substr(0, size), names, kThen));
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string bad = bytes;
    bad[at] = static_cast<char>(bad[at] ^ (1 << steps.below(8)));
    REQUIRE(refused(bad, names, kThen));
  }
  CHECK(refused(bytes + "x", names, kThen));
  CHECK(refused(bytes, names, kThen - 1ns));
  Names other;
  other.classes = {"load", "look"};
  CHECK(refused(bytes, other, kThen));
  CHECK_FALSE(refused(bytes, names, kThen));
}

struct Shared : Names, dispatch::Log {
  Shared() { REQUIRE(::mkdtemp(path.data())); }
  ~Shared() override { std::filesystem::remove_all(path); }
  void write(std::string_view line) override { notes.emplace_back(line); }
  auto read() { return net::HandOver::read(path, *this, *this); }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  std::vector<std::string> notes;
};

TEST_CASE_FIXTURE(Shared, "a file hands on what was offered last; one that is spoilt is told of once") {
  CHECK_FALSE(read().has_value());
  CHECK(notes.empty());  // no file is no news
  Steps steps(3);
  const LearnedState value = random_value(steps);
  net::HandOver out(path, 0, *this);
  out.offer(value);
  auto got = read();
  while (!got) got = read();
  CHECK(got->state == value);
  std::filesystem::resize_file(path + "/yokestream-learnt", 100);
  notes.clear();
  CHECK_FALSE(read().has_value());
  CHECK(notes.size() == 1);
}

TEST_CASE_FIXTURE(Shared, "a folder that is not there stops nobody") {
  net::HandOver out("/nowhere/at/all", 0, *this);
  Steps steps(3);
  out.offer(random_value(steps));
  CHECK_FALSE(net::HandOver::read("/nowhere/at/all", *this, *this).has_value());
}

}  // namespace
}  // namespace yokestream::test
