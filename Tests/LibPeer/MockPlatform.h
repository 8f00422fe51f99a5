#pragma once

#include <LibLog/PlatformClient.h>
#include <LibLog/RecordBodies.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::peer {

/// An in-memory log of the platform. Answers are posted to the event loop;
/// reads never wait for new records.
class MockPlatform final : public log::PlatformClient {
public:
  explicit MockPlatform(boost::asio::io_context &context) : Context(context) {}

  void append(std::string bytes,
              std::function<void(log::AppendAnswer)> done) override {
    log::AppendAnswer answer;
    if (IsUp) {
      Records.push_back({Records.size() + 1, std::move(bytes)});
      answer.Outcome = log::AppendAnswer::Kind::Accepted;
      answer.At = Records.size();
    }
    boost::asio::post(Context,
                      [answer, done = std::move(done)] { done(answer); });
  }

  void read(log::Offset from, uint32_t maximumRecords, base::Duration,
            std::function<void(log::ReadAnswer)> done) override {
    ++Reads;
    log::ReadAnswer answer;
    answer.Reached = IsUp;
    answer.First = First;
    answer.End = Records.size() + 1;
    for (const auto &it : Records)
      if (IsUp && it.At >= std::max(from, First) &&
          answer.Records.size() < maximumRecords)
        answer.Records.push_back(isBlanked(it) ? log::StoredRecord{it.At, {}}
                                               : it);
    boost::asio::post(Context, [answer = std::move(answer),
                                done = std::move(done)] { done(answer); });
  }

  void truncateUpTo(log::Offset upTo) override { CoveredOffset = upTo; }
  void continueTruncation() override {}

  /// Appends a drain of one VM, the smallest record that changes the fold.
  void appendDrain(const std::string &id) {
    auto record =
        log::makeDrain(id, {"team", "actor", "127.0.0.1"}, {"vm:" + id, true});
    Records.push_back({Records.size() + 1, log::encodeRecord(record)});
  }

  std::vector<log::StoredRecord> Records;
  log::Offset First = 1;
  bool IsUp = true;
  /// Returns snapshot parts empty, as peers forward them.
  bool BlanksSnapshots = false;
  uint64_t Reads = 0;
  log::Offset CoveredOffset = 0; ///< Argument of the last truncateUpTo().

private:
  bool isBlanked(const log::StoredRecord &it) const {
    return BlanksSnapshots &&
           it.Bytes.find("\"snapshot\"") != std::string::npos;
  }

  boost::asio::io_context &Context;
};

} // namespace radishcross::peer
