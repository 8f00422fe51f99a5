#pragma once

#include <LibLog/Chunks.h>
#include <LibLog/Fold.h>
#include <LibLog/RecordBodies.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::log {

/// Appends records to a log and applies them to a fold.
class FoldDriver {
public:
  RecordOutcome append(std::string bytes) {
    Log.push_back({Log.size() + 1, std::move(bytes)});
    return State.apply(Log.back());
  }

  /// Appends \p record, chunked if necessary, and returns the last outcome.
  RecordOutcome append(const Record &record) {
    RecordOutcome out;
    for (auto &it : splitRecord(record))
      out = append(std::move(it));
    return out;
  }

  Fold State;
  std::vector<StoredRecord> Log;
};

inline config::Selector selectorOf(std::string_view text) {
  base::LastReason reason;
  auto out = config::Selector::create(text, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

/// Returns the content of a version with these services and routes. A route is
/// given as "name>service" and matches the path prefix "/name".
inline boost::json::value contentOf(const std::vector<std::string> &services,
                                    const std::vector<std::string> &routes) {
  boost::json::array defined;
  for (const auto &it : services)
    defined.push_back(boost::json::object{{"name", it}});
  boost::json::array wired;
  for (const auto &it : routes) {
    auto name = it.substr(0, it.find('>'));
    wired.push_back(boost::json::object{
        {"name", name},
        {"service", it.substr(it.find('>') + 1)},
        {"match", boost::json::object{{"path_prefix", "/" + name}}}});
  }
  return boost::json::object{{"services", std::move(defined)},
                             {"routes", std::move(wired)}};
}

inline const Author Badges{"badges", "ana", "127.0.0.1"};
inline const Author Surf{"surf", "ben", "127.0.0.2"};

/// Makes a publish that also attaches the version to the nodes of \p selector
/// (all by default), under the name of the configuration; "none" attaches
/// nothing.
inline Record publish(std::string id, const std::string &configuration,
                      uint64_t base, boost::json::value content,
                      std::string_view selector = "", Author by = Badges) {
  PublishBody body{configuration, base, std::move(content), {}, ""};
  if (selector != "none")
    body.Attach.push_back({configuration, selectorOf(selector)});
  return makePublish(std::move(id), std::move(by), body);
}

inline Record attach(std::string id, const std::string &name,
                     const std::string &configuration, uint64_t version,
                     std::string_view selector, Author by = Badges) {
  return makeAttach(std::move(id), std::move(by),
                    {name, configuration, version, selectorOf(selector)});
}

/// Makes a record of the retired kind, which is no longer written.
inline Record retired(std::string id) {
  return {std::move(id),
          RecordKind::Retired,
          {},
          boost::json::object{{"node", "n1"},
                              {"data_centre", "dc"},
                              {"gossip", "127.0.0.1:1"},
                              {"peer", "127.0.0.1:2"},
                              {"expires_at_unix_s", 60}}};
}

/// Checks that a saved state loads as an equal state.
inline void checkRoundTrip(const Fold &fold) {
  base::LastReason reason;
  auto again = Fold::load(fold.save(), reason);
  REQUIRE_MESSAGE(again, reason.text());
  CHECK(again->hash() == fold.hash());
  CHECK(again->save() == fold.save());
}

} // namespace radishcross::log
