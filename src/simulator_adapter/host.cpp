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
    while (read_line(true)) handle_batch();
  }

 private:
  static constexpr std::uint64_t kMaxEngineLists = 16;  // the protocol numbers them from 0 to 15

  // Reads the next line that is not empty. Returns false at the end of the input, if `end_allowed`.
  bool read_line(bool end_allowed) {
    do {
      if (!std::getline(in_, text_)) {
        if (end_allowed) return false;
        throw WireError(line_number_ + 1, "", "the input ends inside a batch");
      }
      ++line_number_;
      if (in_.eof()) throw WireError(line_number_, "", "the input ends inside a line");
      if (!text_.empty() && text_.back() == '\r') text_.pop_back();
    } while (text_.empty());
    return true;
  }

  void handle_batch() {
    const std::string first_line = text_;
    const Line clock(line_number_, first_line);
    if (clock.word() != "clock") clock.fail("clock", "expected, found '" + std::string(clock.word()) + "'");
    const policy::Time now{policy::Duration(clock.integer("Wall"))};
    if (now < previous_batch_at_) clock.fail("Wall", "earlier than in the previous batch");
    previous_batch_at_ = now;
    const std::uint64_t turn = clock.unsigned_integer("turn");
    std::string reply;
    while (true) {
      read_line(false);
      const Line line(line_number_, text_);
      if (line.word() == "your_turn") break;
      handle_line(line, now, reply);
    }
    out_ << reply << "ok\tturn=" << turn << '\n' << std::flush;
  }

  void handle_line(const Line& line, policy::Time now, std::string& reply) {
    if (line.word() == "sheet") return read_engine_list(line);
    const std::uint64_t instance = line.unsigned_integer("I");
    try {
      if (line.word() == "begin") {
        const std::uint64_t seed = line.unsigned_integer("RandomSeed");
        controllers_.erase(instance);
        controllers_.emplace(instance, policy::AdmissionController(decode_settings(line), seed, now));
        return;
      }
      if (line.word() == "teardown") {
        controllers_.erase(instance);
        return;
      }
      const Event event = line.word() == "members" ? Event(decode_engine_list(line)) : decode_event(line);
      const auto it = controllers_.find(instance);
      if (it == controllers_.end()) return;  // not started yet, or already torn down
      actions_.clear();
      it->second.handle(now, event, actions_);
      for (const Action& action : actions_) encode(action, instance, reply);
    } catch (const std::invalid_argument& problem) {
      line.fail("", problem.what());
    }
  }

  void read_engine_list(const Line& line) {
    const std::uint64_t list_id = line.unsigned_integer("RosterId");
    if (list_id >= kMaxEngineLists) line.fail("RosterId", "not between 0 and 15");
    const std::uint64_t count = line.unsigned_integer("MembersList");
    std::vector<EngineEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) {
      read_line(false);
      entries.push_back(decode_entry(Line(line_number_, text_)));
    }
    engine_lists_[list_id] = std::move(entries);
  }

  EngineList decode_engine_list(const Line& line) const {
    EngineList list = decode_list_header(line);
    if (list.kind == policy::EngineListKind::failed) return list;
    const auto it = engine_lists_.find(line.unsigned_integer("RosterId"));
    if (it == engine_lists_.end()) line.fail("RosterId", "no engine list with this number");
    list.entries = it->second;
    return list;
  }

  std::istream& in_;
  std::ostream& out_;
  std::string text_;
  std::size_t line_number_ = 0;
  policy::Time previous_batch_at_ = policy::Time::min();
  std::map<std::uint64_t, std::vector<EngineEntry>> engine_lists_;
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
