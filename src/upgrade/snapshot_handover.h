// The file by which a process passes its learned state on to its successor: `yokestream-learnt` in the folder
// that both share.
//
// Each version is written to a file of its own and then renamed over the current one, on a thread of its own,
// so that a slow disk delays nobody; an offer made while another is waiting is dropped. A missing file is
// normal; one that cannot be decoded is logged in one line and ignored. Memory: one copy of the state and its
// bytes.
//
// Threads: any thread may call offer().
#pragma once

#include <optional>
#include <string>

#include "dispatch/ports.h"
#include "net/bounded_work_queue.h"
#include "net/clock.h"
#include "net/thread.h"
#include "snapshot/learned_state_codec.h"

namespace yokestream::upgrade {

class SnapshotHandover {
 public:
  // What a predecessor left in `folder`, if it decodes and is not older than an hour.
  static std::optional<snapshot::RestoredState> load(const std::string& folder,
                                                     const config::RealSettings& names, dispatch::Log& log);

  // `slot`: of this process in its group; names the file that it writes to. `names` outlives this.
  SnapshotHandover(const std::string& folder, int slot, const config::RealSettings& names);
  ~SnapshotHandover();  // drops what waits to be written; joins
  SnapshotHandover(const SnapshotHandover&) = delete;
  SnapshotHandover& operator=(const SnapshotHandover&) = delete;

  void offer(policy::LearnedState state);            // never blocks
  void write_now(policy::LearnedState state) const;  // on the caller's thread; returns once it is written

 private:
  struct Offer {
    policy::LearnedState state;
    net::Time taken_at{};
  };
  void replace_file(const std::string& bytes) const;

  const std::string folder_;
  const std::string path_;
  const std::string temporary_path_;
  const config::RealSettings& names_;
  net::BoundedWorkQueue<Offer> offers_;  // any thread adds, thread_ removes
  net::Thread thread_;                   // last: it uses the rest
};

}  // namespace yokestream::upgrade
