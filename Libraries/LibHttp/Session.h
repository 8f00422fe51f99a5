#pragma once

#include <LibHttp/Connection.h>
#include <LibHttp/ConnectionEndLog.h>
#include <LibHttp/Server.h>
#include <LibHttp/WriteTurns.h>

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace radishcross::http {

class Session;

/// State shared by the sessions of one server.
struct SessionContext {
  ServerLimits Limits;
  Handler Handle;
  bool Draining = false;
  bool ClosesAfterResponses = false;
  ConnectionEndLog Ends;
  std::shared_ptr<WriteTurns> Turns; ///< Null: all are written at once.
  std::unordered_set<Session *> Sessions;
  /// Those of Sessions that are only being refused or closed.
  size_t Ending = 0;
};

/// One client connection. Reads ahead (pipelining), handles safe requests
/// concurrently and all others exclusively, and responds in the order of the
/// requests.
class Session final : public std::enable_shared_from_this<Session> {
public:
  /// Maximum number of requests of one connection that are read but not
  /// answered.
  static constexpr size_t MaximumPipelined = 16;

  Session(std::shared_ptr<SessionContext> shared,
          boost::asio::ip::tcp::socket socket);

  /// Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  /// Enters the session; one that only \p ends takes no place of the limit.
  void enter(bool ends);

  /// Refuses the client because of too many connections; reads nothing.
  boost::asio::awaitable<void> runRejected();

  /// Applies the drain timeout to an idle connection.
  void drain();

  /// Answers the requests in progress as unknown, since the process ends; so
  /// answers that wait behind them are still delivered.
  void answerUnfinished();
  void stop();
  bool idle() const { return Requests.empty() && !Reading; }

  /// Returns since when the client has sent nothing while nothing is owed to
  /// it, or nothing if it is owed something.
  std::optional<base::TimePoint> waitingSince() const;

  /// Closes the connection to make room for another client. If it \p mayStay a
  /// while, its incomplete request is refused first.
  void makeRoom(bool mayStay);

private:
  /// A request from its last byte to its response.
  struct PendingRequest {
    Request Message;
    bool IsHead = false;
    bool KeepAlive = true;
    bool TakesChunks = true;
    bool IsSafe = false;
    bool Started = false;
    std::optional<Response> HttpResponse;
    MemoryHold Held; ///< Until the handler is done.
    std::shared_ptr<ClientWatch> Watch;
  };
  using PendingRequestPointer = std::shared_ptr<PendingRequest>;

  boost::asio::awaitable<bool> readOne();
  bool leavesInputUnread() const;
  boost::asio::awaitable<void> handle(PendingRequestPointer pending);
  boost::asio::awaitable<Response> callHandler(PendingRequestPointer pending);
  boost::asio::awaitable<void> writeResponses();
  boost::asio::awaitable<bool> writeResponse(const PendingRequest &pending,
                                             Response &response);
  boost::asio::awaitable<void> gatherRest(Response &response);
  boost::asio::awaitable<void>
  refuse(Response response, std::string_view reason, EndReason endReason);
  boost::asio::awaitable<void> awaitChange();
  boost::asio::awaitable<void> awaitResponses();
  void accept(Request request, MemoryHold held);
  void startEligible();
  void countAsEnding();
  void leave();
  void responseWritten();
  void armDeadline();
  void advertiseIdleTimeout(Response &response);
  void abandonFollowing();
  void watchClient();
  void clientReadable(boost::system::error_code ec);
  void clientDisconnected();
  void setEndReason(EndReason reason);
  void closeWithReason(EndReason reason);
  void reportEnd();
  EndReason endReasonOf(const ConnectionEnd &end) const;

  std::shared_ptr<SessionContext> Shared;
  ConnectionPointer Client;
  base::Address Peer;
  boost::asio::steady_timer StateChanged;
  std::deque<PendingRequestPointer> Requests; ///< In the order of the requests.
  std::optional<Response> Refusal; ///< For a request that could not be read.
  std::string_view RefusalName;
  EndReason RefusalEnd = EndReason::InputRefused;
  base::Duration AdvertisedIdleTimeout{};
  bool Reading = false; ///< A request has begun to arrive.
  bool Writing = false;
  bool Ends = false;    ///< Counted in SessionContext::Ending.
  bool Closing = false; ///< Nothing more is read.
  bool WatchPending = false;
  bool ClientCloses = false; ///< The last request asked to close.
  bool EndReported = false;
  std::optional<EndReason> Ended; ///< The first reason found.
  ConnectionEnd EndRecord;
  ConnectionEndLog::Time Since = std::chrono::steady_clock::now();
};

} // namespace radishcross::http
