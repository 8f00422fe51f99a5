#include "Flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, node, "",
          "IP:PORT of any node's administration listener "
          "(else RADISHCROSS_NODE, else 127.0.0.1:9900)");
ABSL_FLAG(std::string, token, "",
          "administration token (else RADISHCROSS_TOKEN, which other users of "
          "this machine cannot see)");
ABSL_FLAG(bool, json, false, "print one JSON document");
ABSL_FLAG(std::string, settings, "", "file with the node's settings");
ABSL_FLAG(std::string, configuration, "", "name of the configuration");
ABSL_FLAG(std::string, base, "",
          "version that the change was made from (else the newest)");
ABSL_FLAG(std::string, attach, "", "name of the attachment to make or move");
ABSL_FLAG(bool, no_attach, false,
          "publish only; the nodes keep what they hold");
ABSL_FLAG(std::string, selector, "",
          "nodes by label, for instance \"region=south, 20%\"; empty: all");
ABSL_FLAG(std::string, version_number, "",
          "version to attach (else the newest)");
ABSL_FLAG(std::string, accept_impact, "",
          "reason for accepting the reported impact; kept in the audit trail");
ABSL_FLAG(bool, dry_run, false,
          "list the nodes that would change, without changing them");
ABSL_FLAG(std::string, record, "", "record id whose outcome is queried");
ABSL_FLAG(std::string, from, "", "older version, or the node to record from");
ABSL_FLAG(std::string, to, "", "newer version");
ABSL_FLAG(std::string, actor, "", "only changes by the token of this name");
ABSL_FLAG(std::string, team, "", "only changes by this team");
ABSL_FLAG(std::string, kind, "", "only publish, attach, detach or drain");
ABSL_FLAG(std::string, outcome, "", "only accepted or rejected changes");
ABSL_FLAG(std::string, since, "", "only changes from this log offset on");
ABSL_FLAG(uint32_t, limit, 50, "maximum number of entries");
ABSL_FLAG(uint32_t, seconds, 60, "duration in seconds");
ABSL_FLAG(bool, undo, false, "end the drain and accept new work again");
ABSL_FLAG(std::string, lift, "",
          "fingerprint of the request to release from quarantine");
ABSL_FLAG(std::string, about, "",
          "what was recorded and what must hold, kept in the trace");
ABSL_FLAG(std::string, host, "", "host of the request");
ABSL_FLAG(std::string, caller, "", "service that sends the request");
ABSL_FLAG(std::string, tenant, "", "name of the tenant that asks; not its key");
ABSL_FLAG(std::string, rank, "",
          "rank of the work that sends the request: critical, standard or "
          "background");
