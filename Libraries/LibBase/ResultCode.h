#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace radishcross::base {

/// All numbered results. The thousands digit gives the subsystem. A test
/// compares the table in docs/RESULT-CODES.md with resultCodes().
enum class ResultCode : uint16_t {
  Ok = 0,

  // 1xxx: documents, settings and the command line.
  UsageError = 1001,
  FileUnreadable = 1002,
  DocumentEmpty = 1003,
  DocumentTooLarge = 1004,
  DocumentTruncated = 1005,
  DocumentMalformed = 1006,
  DocumentNotUtf8 = 1007,
  DocumentTooDeep = 1008,
  DuplicateKey = 1009,
  UnknownKey = 1010,
  WrongType = 1011,
  NumberOutOfRange = 1012,
  MissingKey = 1013,
  BadValue = 1014,
  BadAddress = 1015,
  PortClash = 1016,
  CannotListen = 1017,

  // 2xxx: configuration.
  BadSelector = 2001,
  DuplicateName = 2002,
  DanglingReference = 2004,
  BadRoute = 2005,
  UnknownConfiguration = 2006,
  UnknownVersion = 2007,
  WaitingForReference = 2008,
  AmbiguousRoute = 2009,
  ImpactNotAccepted = 2010,

  // 3xxx: the platform's log and the fold.
  RecordMalformed = 3001,
  RecordTooLarge = 3002,
  StaleBase = 3003,
  WrongTeam = 3004,
  ChunksIncomplete = 3005,
  PlatformUnavailable = 3006,
  OutcomeUnknown = 3007,
  RecordExpired = 3008,
  LogShortened = 3009,
  SnapshotMismatch = 3010,
  DuplicateRecord = 3011,

  // 4xxx: fleet and peers.
  PeerUnauthenticated = 4001,
  DatagramMalformed = 4002,
  DatagramReplayed = 4003,
  PeerBusy = 4004,
  NotRecovered = 4005,
  PeerBehind = 4006,
  LeaseLapsed = 4007,

  // 5xxx: calls.
  NoRoute = 5001,
  NoTarget = 5002,
  Overloaded = 5003,
  DeadlineExceeded = 5004,
  CallOutcomeUnknown = 5005,
  Quarantined = 5006,
  BadRequest = 5007,
  HeadersTooLarge = 5008,
  BodyTooLarge = 5009,
  TooManyHops = 5010,
  IdempotencyOwnerLost = 5011,
  IdempotencyMismatch = 5012,
  CallerGone = 5013,
  Draining = 5014,
  TargetRefused = 5015,
  TargetFailed = 5016,
  KeyUnknown = 5018,
  AllotmentSpent = 5019,
  MemoryShort = 5020,

  // 6xxx: administration.
  Unauthorised = 6001,
  Forbidden = 6002,
  NotFound = 6003,
  NodeUnreachable = 6004,
  NotConverged = 6005,

  // 7xxx: traces.
  TraceTruncated = 7001,
  TraceAltered = 7002,
  TraceTooNew = 7003,
  TraceDiffers = 7004,
  TraceMalformed = 7005,

  // 8xxx: state charts.
  ChartUnknownState = 8001,
  ChartUnreachableState = 8002,
  ChartUnboundAction = 8003,
  ChartMalformed = 8004,

  Internal = 9001,
};

/// One row of the table of result codes.
struct ResultCodeRow {
  ResultCode Code;
  std::string_view Name; ///< Stable, lower case with hyphens.
  uint16_t HttpStatus;   ///< Status of an HTTP response with this code.
  uint8_t ExitCode;      ///< Exit code of a command that ends with it.
  std::string_view Meaning;
};

/// Returns the whole table in the order of the codes.
std::span<const ResultCodeRow> resultCodes();

/// Returns the row of \p code, or the row of Internal for an unknown code.
const ResultCodeRow &describe(ResultCode code);

} // namespace radishcross::base
