#include "host.h"

#include <istream>
#include <map>
#include <ostream>
#include <string>

#include "wire.h"

namespace yokestream::simulator_adapter {
namespace {

class Host {
 public:
  Host(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  void run() {
    while (next(true)) batch();
  }

 private:
  static constexpr std::uint64_t kLists = 16;  // lists are numbered 0 to 15 on this wire

  bool next(bool may_end) {
    do {
      if (!std::getline(in_, text_)) {
        if (may_end) return false;
        throw WireError(number_ + 1, "", "the input ends inside a batch");
      }
      ++number_;
      if (in_.eof()) throw WireError(number_, "", "the input ends inside a line");
      if (!text_.empty() && text_.back() == '\r') text_.pop_back();
    } while (text_.empty());
    return true;
  }

  void batch() {
    const std::string head = text_;
    const Line clock(number_, head);
    if (clock.word() != "clock") clock.fail("clock", "expected, found '" + std::string(clock.word()) + "'");
    const policy::Time now{policy::Duration(clock.integer("Wall"))};
    if (now < last_) clock.fail("Wall", "runs backwards");
    last_ = now;
    const std::uint64_t turn = clock.natural("turn");
    std::string reply;
    while (true) {
      next(false);
      const Line line(number_, text_);
      if (line.word() == "your_turn") break;
      event(line, now, reply);
    }
    out_ << reply << "ok\tturn=" << turn << '\n' << std::flush;
  }

  void event(const Line& line, policy::Time now, std::string& reply) {
    if (line.word() == "sheet") return sheet(line);
    const std::uint64_t instance = line.natural("I");
    try {
      if (line.word() == "begin") {
        const std::uint64_t seed = line.natural("RandomSeed");
        controllers_.erase(instance);
        controllers_.emplace(instance, policy::AdmissionController(decode_settings(line), seed, now));
        return;
      }
      if (line.word() == "teardown") {
        controllers_.erase(instance);
        return;
      }
      const Event event = line.word() == "members" ? Event(members(line)) : decode_event(line);
      const auto it = controllers_.find(instance);
      if (it == controllers_.end()) return;  // not running (any more)
      actions_.clear();
      it->second.handle(now, event, actions_);
      for (const Action& action : actions_) encode(action, instance, reply);
    } catch (const std::invalid_argument& problem) {
      line.fail("", problem.what());
    }
  }

  void sheet(const Line& line) {
    const std::uint64_t list = line.natural("RosterId");
    if (list >= kLists) line.fail("RosterId", "not between 0 and 15");
    const std::uint64_t count = line.natural("MembersList");
    std::vector<EngineEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) {
      next(false);
      entries.push_back(decode_entry(Line(number_, text_)));
    }
    lists_[list] = std::move(entries);
  }

  EngineList members(const Line& line) const {
    EngineList list = decode_list_head(line);
    if (list.kind == policy::EngineListKind::failed) return list;
    const auto it = lists_.find(line.natural("RosterId"));
    if (it == lists_.end()) line.fail("RosterId", "no such list");
    list.entries = it->second;
    return list;
  }

  std::istream& in_;
  std::ostream& out_;
  std::string text_;
  std::size_t number_ = 0;
  policy::Time last_ = policy::Time::min();
  std::map<std::uint64_t, std::vector<EngineEntry>> lists_;
  std::map<std::uint64_t, policy::AdmissionController> controllers_;
  std::vector<Action> actions_;
};

}  // namespace

void serve(std::istream& in, std::ostream& out) { Host(in, out).run(); }

int run(std::istream& in, std::ostream& out, std::ostream& err) {
  try {
    serve(in, out);
    return 0;
  } catch (const std::exception& problem) {
    err << "yokestream_adapter: " << problem.what() << std::endl;
    return 1;
  }
}

}  // namespace yokestream::simulator_adapter
