// The keys below one prefix as this process knows them: read whole at one revision, then kept up by a watch
// from the next one. A watch that is cut or compacted is answered by reading all anew; events that come twice
// count once. Tells when the store has been set back to an older state. Pure; one thread at a time.
// Memory: the keys, kMostProcesses at most.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "store/values.h"

namespace yokestream::coordination {

class View {
 public:
  explicit View(std::string prefix) : prefix_(std::move(prefix)) {}

  bool known() const { return revision_ > 0; }
  store::Range read() const { return {prefix_, store::after_prefix(prefix_)}; }
  void took(const store::Done& done);  // the answer to read()
  store::Watch watch() const { return {prefix_, store::after_prefix(prefix_), revision_ + 1}; }
  void heard(const store::Watched& watched);
  void lost() { revision_ = 0; }  // its watch is over: all is read anew

  const store::KeyValue* find(const std::string& key) const;

 private:
  const std::string prefix_;
  std::map<std::string, store::KeyValue> keys_;
  store::Revision revision_ = 0;
};

}  // namespace yokestream::coordination
