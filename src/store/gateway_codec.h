// Codec of etcd's JSON gateway: encodes requests as paths and bodies, decodes bodies as replies.
//
// 64-bit numbers are strings, keys and values are base64 (etcd.io/docs/v3.5/dev-guide/api_grpc_gateway).
// Callable from any thread. Never throws because of input from the store: a malformed body is reported in the
// result.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/values.h"

namespace yokestream::store {

struct GatewayCall {
  std::string path, body;
  bool writes = false;  // may change the store, so that a lost reply leaves the outcome unknown
};
bool may_change(const Request& request);
GatewayCall encode(const Request& request);
GatewayCall encode(const WatchRequest& watch);

// `status`: the HTTP status. A malformed body is treated like a missing reply: OutcomeUnknown for a request
// that may write, Failed for one that only reads.
Reply decode(const Request& request, unsigned status, std::string_view body);
// Decodes one line of a watch's stream; nullopt: malformed.
std::optional<WatchResponse> decode_watch_response(std::string_view line);

std::string to_base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);  // nullopt: not canonical base64

}  // namespace yokestream::store
