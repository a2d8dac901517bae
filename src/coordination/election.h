// Who owns one duty, and for how long nobody else does: the line of candidates in the store.
//
// Each candidate has a key under its lease; the one with the least create revision owns the duty, and that
// revision is its term: it fences the owner (S1), as all that a duty writes compares it. Each waits for the
// one ahead of it alone, so an owner's end wakes one process. A reply that was lost is read back before
// anything is done upon it. An owner that writes no sign of progress is put out of the line by the next in
// it; who waits further back looks at the sign too, as the one ahead of it may have become the owner since.
// Pure; one thread at a time. Memory: one key's name.
#pragma once

#include <optional>
#include <string>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

class LeaderElection {
 public:
  // `line`: the prefix of the candidates' keys; `beat`: the key that the owner writes as it goes on.
  LeaderElection(const Settings& settings, std::string line, std::string beat)
      : settings_(settings), line_(std::move(line)), beat_(std::move(beat)) {}

  // Candidate under this lease from now on; another lease than before: what was held is lost.
  void campaign(store::LeaseId lease, const std::string& name);
  void resign();  // gives up its place, by next()
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent() { out_ = true; }
  void on_reply(Time now, const store::Reply& reply);
  Time next_due() const;

  // The key ahead, from which revision on it is to be watched; nullopt: there is nobody to wait for.
  std::optional<store::WatchRequest> predecessor_watch() const;
  void on_predecessor_gone() { look_ = true; }  // or its watch was cut, or nothing is known of it any more
  void on_leadership_lost() { place_ = 0, look_ = true; }  // a write of this term was refused

  bool is_leader() const { return place_ > 0 && ahead_.empty() && !look_ && !leaving_; }
  bool has_resigned() const { return place_ == 0 && !unsure_; }
  store::Revision fencing_token() const { return place_; }
  // All that it knows, but for times, as one text: two that say the same go on alike. For searches.
  std::string digest() const;
  store::Compare leadership_guard() const {
    return {store::Compare::Target::create_revision, own_, place_, {}};
  }

 private:
  enum class Asked { enter, read_line, leave, read_beat, depose };
  bool idle() const { return beat_read_ >= beat_since_ + settings_.progress_timeout; }
  Asked asking() const;
  void read_line(Time now, const store::Completed& done);
  void read_beat(Time now, const store::Completed& done);

  const Settings& settings_;
  const std::string line_, beat_;
  std::string own_, name_, ahead_;  // ahead_: empty: nobody is
  store::LeaseId lease_ = store::LeaseId::none;
  store::Revision place_ = 0, ahead_create_ = 0, seen_ = 0;  // place_: 0: not in line
  bool out_ = false, look_ = false, unsure_ = false, leaving_ = false, ahead_owns_ = false;
  store::Revision beat_mod_ = -1;    // as last read; -1: not read
  Time beat_since_{}, beat_read_{};  // when it was first seen so, and last
  Time line_read_{}, again_ = Time::min();
};

}  // namespace yokestream::coordination
