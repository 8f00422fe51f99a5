#include <LibHttp/MeshCall.h>

#include <LibCalls/CallTypes.h>

#include <algorithm>
#include <doctest/doctest.h>

using namespace radishcross;

namespace {

http::MeshCall someCall() {
  http::MeshCall call;
  call.CallId = "0123456789abcdef";
  call.CallRank = config::Rank::Critical;
  call.Remaining = std::chrono::milliseconds(750);
  call.Hops = 3;
  call.Attempt = 2;
  call.ServiceName = "badges/pay";
  call.TargetId = "t1";
  return call;
}

/// Returns a request with the given header line.
http::Request requestWith(const std::string &lines) {
  http::Request request(boost::beast::http::verb::get, "/pay", 11);
  size_t colon = lines.find(": ");
  request.set(lines.substr(0, colon),
              lines.substr(colon + 2, lines.size() - colon - 4));
  return request;
}

} // namespace

TEST_CASE(
    "a call is sent between nodes in one header line covered by its proof") {
  http::Request bare(boost::beast::http::verb::get, "/pay", 11);
  for (bool hasKey : {true, false})
    for (const char *target : {"t1", "", "a target"}) {
      CAPTURE(hasKey);
      CAPTURE(target);
      http::MeshKeys keys(hasKey ? std::vector<std::string>{"the key"}
                                 : std::vector<std::string>());
      http::MeshCall call = someCall();
      call.TargetId = target;
      std::string lines =
          meshHeaderLines(bare, call, http::MeshAudience::Node, keys);
      CHECK(std::count(lines.begin(), lines.end(), '\n') == 1);
      base::LastReason reason;
      auto read = readMeshCall(requestWith(lines), http::MeshAudience::Node,
                               keys, reason);
      REQUIRE(read);
      CHECK(read->CallId == call.CallId);
      CHECK(read->CallRank == call.CallRank);
      CHECK(read->Remaining == call.Remaining);
      CHECK(read->Hops == call.Hops);
      CHECK(read->Attempt == call.Attempt);
      CHECK(read->ServiceName == call.ServiceName);
      CHECK(read->TargetId == call.TargetId);
    }
}

TEST_CASE("a latency objective is sent between nodes and is optional") {
  http::Request bare(boost::beast::http::verb::get, "/pay", 11);
  http::MeshKeys keys({"the key"});
  struct Row {
    std::string Id; ///< As written in the header line.
    std::string CallId;
    int64_t Milliseconds;
    std::optional<balance::MilliRate> StatedRate{};
    bool CanGoElsewhere = false;
  };
  const Row rows[] = {{"0123", "0123", 0},
                      {"0123;250", "0123", 250},
                      {"0123;", "0123;", 0},
                      {"0123;soon", "0123;soon", 0},
                      {"0123;r16900", "0123", 0, 16'900},
                      {"0123;r0;250", "0123", 250, 0},
                      {"0123;r-5;250", "0123;r-5", 250},
                      {"0123;r;250", "0123;r", 250},
                      {"0123;o;r16900;250", "0123", 250, 16'900, true},
                      {"0123;o", "0123", 0, {}, true},
                      {"0123;on;250", "0123;on", 250}};
  for (const auto &row : rows) {
    CAPTURE(row.Id);
    http::MeshCall call = someCall();
    call.CallId = row.Id;
    base::LastReason reason;
    auto read = readMeshCall(requestWith(meshHeaderLines(
                                 bare, call, http::MeshAudience::Node, keys)),
                             http::MeshAudience::Node, keys, reason);
    REQUIRE(read);
    CHECK(read->CallId == row.CallId);
    CHECK(read->LatencyObjective ==
          std::chrono::milliseconds(row.Milliseconds));
    CHECK(read->StatedRate == row.StatedRate);
    CHECK(read->CanGoElsewhere == row.CanGoElsewhere);
    std::string again =
        meshHeaderLines(bare, *read, http::MeshAudience::Node, keys);
    CHECK(again.find(" " + row.Id + " ") != std::string::npos);
    // A target gets the id without the objective.
    std::string told =
        meshHeaderLines(bare, *read, http::MeshAudience::Target, keys);
    CHECK(told.find(": " + row.CallId + "\r\n") != std::string::npos);
  }
}

TEST_CASE("the hash of a client's key is sent between nodes only") {
  http::Request bare(boost::beast::http::verb::get, "/pay", 11);
  http::MeshKeys keys({"the key"});
  http::MeshCall call = someCall();
  call.KeyHash = std::string(64, 'a');
  call.StatedRate = 5000;
  call.LatencyObjective = std::chrono::milliseconds(250);
  base::LastReason reason;
  auto read = readMeshCall(
      requestWith(meshHeaderLines(bare, call, http::MeshAudience::Node, keys)),
      http::MeshAudience::Node, keys, reason);
  REQUIRE(read);
  CHECK(read->CallId == call.CallId);
  CHECK(read->KeyHash == call.KeyHash);
  CHECK(read->StatedRate == call.StatedRate);
  CHECK(read->LatencyObjective == call.LatencyObjective);
  CHECK(meshHeaderLines(bare, call, http::MeshAudience::Target, keys)
            .find(call.KeyHash) == std::string::npos);
}

TEST_CASE("a changed value of a call between nodes fails authentication") {
  http::Request bare(boost::beast::http::verb::get, "/pay", 11);
  http::MeshKeys keys({"the key"});
  std::string lines =
      meshHeaderLines(bare, someCall(), http::MeshAudience::Node, keys);
  for (const char *value : {"0123456789abcdef", "critical", "750", " 3 ", " 2 ",
                            "badges/pay", "t1"}) {
    CAPTURE(value);
    std::string changed = lines;
    size_t at = changed.rfind(value);
    REQUIRE(at != std::string::npos);
    changed[at + 1] = changed[at + 1] == '9' ? '8' : '9';
    base::LastReason reason;
    CHECK_FALSE(readMeshCall(requestWith(changed), http::MeshAudience::Node,
                             keys, reason));
    CHECK(reason.code() == base::ResultCode::PeerUnauthenticated);
  }
  http::Request other = requestWith(lines);
  other.target("/other");
  base::LastReason reason;
  CHECK_FALSE(readMeshCall(other, http::MeshAudience::Node, keys, reason));
}
