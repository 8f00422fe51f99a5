#include <LibFleet/FakeMesh.h>
#include <LibPeer/GossipCodec.h>
#include <LibPeer/MeshAuthenticator.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {

constexpr size_t HeaderBytes = 28; ///< IPv4 (20) and UDP (8).

/// Counts the bytes on the wire of a fleet's datagrams.
struct MeasuredMesh : FakeMesh {
  explicit MeasuredMesh(size_t nodes) : FakeMesh(1) {
    for (size_t n = 0; n < nodes; ++n)
      add(n, "dc-" + std::to_string(n % 6));
  }

  void sent(const GossipMessage &message) override {
    auto bytes = peer::encodeDatagram({"node-100", 1ULL << 40, 1000, message});
    Largest =
        std::max(Largest, bytes.size() + peer::MeshAuthenticator::TagBytes);
    Bytes += bytes.size() + peer::MeshAuthenticator::TagBytes + HeaderBytes;
  }

  /// Returns the bytes sent and received per node and second, measured over \p
  /// time.
  uint64_t rate(std::chrono::seconds time) {
    Bytes = 0;
    run(time);
    return 2 * Bytes / Nodes.size() / time.count();
  }

  uint64_t Bytes = 0;
  size_t Largest = 0;
};

TargetRecord target(uint64_t epoch) {
  TargetRecord record;
  record.Service = "badges/lookup";
  record.TargetId = "target";
  record.Where = {"10.0.0.1", 8080};
  record.Epoch = epoch;
  return record;
}

} // namespace

TEST_CASE(
    "gossip stays within 4 KB a second and its datagrams within a frame") {
  MeasuredMesh mesh(90);
  auto start = mesh.rate(5s);
  CAPTURE(start);
  CHECK(start < 18000);
  mesh.run(10s);
  CHECK(mesh.seenAs("node-80", MemberState::Alive) == 90);
  mesh.run(110s);
  auto quiet = mesh.rate(20s);
  CAPTURE(quiet);
  CHECK(quiet > 0);
  CHECK(quiet < 4000);

  // A rack of 40 VMs is replaced within a minute.
  uint64_t churn = 0;
  for (size_t n = 0; n < 40; ++n) {
    mesh.add(n + 30, "dc-" + std::to_string(n % 6), 100000);
    mesh.Nodes.at(n + 30).setTargets({target(n)}, mesh.Now);
    churn = std::max(churn, mesh.rate(1s));
  }
  CAPTURE(churn);
  CHECK(churn < 18000);
  CHECK(mesh.Largest <= peer::MaximumDatagramBytes);
  MESSAGE("bytes a node and second, start: ", start, ", quiet: ", quiet,
          ", worst of churn: ", churn, "; largest datagram: ", mesh.Largest);
}
