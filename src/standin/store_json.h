// The gateway's side of the JSON that src/store speaks from the other end: bodies to requests, answers to
// bodies. Throws std::runtime_error on what is none.
#pragma once

#include <string>

#include "standin/store_model.h"

namespace yokestream::standin {

store::Request decode_request(int kind, const std::string& body);  // `kind`: the place in store::Request
store::WatchRequest decode_watch(const std::string& body);
std::string encode_answer(const store::Request& request, const StoreAnswer& answer);
std::string encode_error(const StoreAnswer& answer);
std::string encode_watched(const store::WatchResponse& watched);  // a line

}  // namespace yokestream::standin
