/** The command `publish`: publishes or deletes a contract and waits until the change is in force. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace jackdawdoor::cli {

/** What to publish and where. */
struct PublishOptions {
    std::string file; ///< contract; empty when deleteCustomer is set
    std::string deleteCustomer; ///< publishes a tombstone of this customer
    std::string instanceUrl; ///< operators' address of any instance; source of the version in force
    std::string logUrl; ///< base URL of the log service
    int waitSeconds = 0; ///< how long to wait until the change is in force on each instance; 0: do not wait
    std::vector<std::string> fleet; ///< operators' addresses of the instances to wait for

    bool operator==(const PublishOptions &) const = default;
};

/** Publishes and prints the result: accepted with its version, rejected with the reason, lost a race to a version, or
 * unknown with the command to query it later. Returns an ExitCode: Success, Failed when rejected, Usage for an unreadable file,
 * Unreachable when the result is unknown or the version in force can't be read, LostRace, NotEverywhere.
 */
int runPublish(const PublishOptions &options, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
