// Passes the learned state of a process on to its successor through the file `yokestream-learnt` in their
// shared folder. A dedicated thread writes each snapshot to a temporary file and renames it over the current
// one, so a slow disk does not delay the caller. An offer made while another one is queued is dropped. A
// missing file is normal; a file that cannot be decoded is logged and ignored. Memory: one copy of the state
// and its encoded bytes.
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
  // Returns the state that a predecessor left in `folder`, if it can be decoded and is at most an hour old.
  static std::optional<snapshot::RestoredState> load(const std::string& folder,
                                                     const config::RealSettings& names, dispatch::Log& log);

  // `slot` is the slot of this process in its group; the name of the temporary file contains it. `names` must
  // outlive
  // this object.
  SnapshotHandover(const std::string& folder, int slot, const config::RealSettings& names);
  ~SnapshotHandover();  // drops a queued offer and joins the thread
  SnapshotHandover(const SnapshotHandover&) = delete;
  SnapshotHandover& operator=(const SnapshotHandover&) = delete;

  void offer(policy::LearnedState state);            // never blocks
  void write_now(policy::LearnedState state) const;  // writes on the calling thread

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
  net::BoundedWorkQueue<Offer> offers_;  // pushed by any thread, popped by thread_
  net::Thread thread_;                   // declared last: it uses the other members
};

}  // namespace yokestream::upgrade
