/** @file world.h Stand-ins for the platform's store, upstreams and clients, and processes of lhub-gate, for the cases of the second review.
 *  Blocking sockets, one thread a connection. Only loopback addresses are used. */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/** Seconds since the start of the program. Thread safe. */
double secondsNow();

/** Sleeps until secondsNow() is @p at. */
void sleepUntil(double at);

/** Opens record.txt at @p path; note() writes to it and to the standard output. */
void openRecord(const std::string& path);

/** Writes one line with the time in front. Thread safe. */
void note(const std::string& line);

/** Whether the disruption is to be brought about: TROUBLE is not 0. */
bool isTroubled();

/** A TCP connection; closed by the destructor. */
struct connection {
    int fd = -1;
    std::string buffer; ///< Received and not yet parsed.

    explicit connection(int fd = -1)
        : fd(fd)
    {
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();
    bool isOpen() const { return fd >= 0; }
};

/** A request or a response. */
struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** Value of a field, its name in any case; empty when it is missing. */
    std::string field(const std::string& name) const;
};

/** What became of a request, as its client saw it. */
enum class client_result {
    Answered, ///< A complete response was read.
    NotConnected, ///< No connection could be made.
    Broken, ///< The connection ended or timed out before a complete response.
};

/** Response to a request. */
struct client_answer {
    client_result result = client_result::Broken;
    unsigned status = 0; ///< 0 without a response head.
    message response;
};

/** Connects to "IP:port" within @p timeoutS; not open on failure. */
std::unique_ptr<connection> connectTo(const std::string& address, double timeoutS);

/** Writes all bytes. @return false when the connection ended. */
bool writeAll(connection& to, const std::string& bytes);

/** Reads one message with its body. @param timeoutS of the whole. @return false when it is not complete. */
bool readMessage(connection& from, message& into, bool isResponse, double timeoutS);

/** Reads the response of one request. */
client_answer readAnswer(connection& from, double timeoutS);

/** Text of a client's request. @param body empty for a GET. */
std::string requestText(const std::string& path, const std::string& id, unsigned deadlineMs, const std::string& body);

/** Id of a new request; differs for each call. Thread safe. */
std::string newRequestId();

/** An object in the store. */
struct stored_object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec; ///< JSON as its writer sent it.
};

/** The platform's store: linearizable, with watches. Keeps all history. */
struct store_standin {
    std::string address; ///< IP:port.
    std::mutex mutex; ///< For all that follows.
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, stored_object>> kinds; ///< By kind, then name.
    /** A change: revision, kind, name, whether the object was deleted, the object. */
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool deleted = false;
        stored_object object;
    };
    std::vector<change> changes;
};

/** Starts a store at a free port of @p ip. */
std::shared_ptr<store_standin> startStore(const std::string& ip);

/** Writes an object, as the operator or an upstream does. @return its revision. Thread safe. */
std::uint64_t putObject(store_standin& store, const std::string& kind, const std::string& name, const std::string& spec);

/** Removes an object. Thread safe. */
void removeObject(store_standin& store, const std::string& kind, const std::string& name);

/** A request that reached an upstream and was run. */
struct upstream_run {
    double at = 0; ///< When its head had arrived.
    std::string requestId;
    std::string path;
    std::string body; ///< What arrived of it; kept where keepsBodies is set.
    bool bodyEnded = false; ///< All of it has arrived, or the connection has ended.
};

/** An upstream. */
struct upstream_standin {
    std::string id;
    std::string service;
    std::string zone;
    std::string address; ///< IP:port.
    unsigned slots = 8;
    double workS = 0.02; ///< Time that a request takes.
    /** Seconds after its answer from which it reads the body of a request; negative: it reads the body before it works and answers. */
    std::atomic<double> readsBodyAfterS { -1 };
    bool keepsBodies = false;
    std::mutex mutex;
    std::vector<upstream_run> runs;
};

/** Starts an upstream at a free port of @p ip. */
std::shared_ptr<upstream_standin> startUpstream(const std::string& ip, const std::string& id, const std::string& service, const std::string& zone);

/** The entry that an upstream writes into the store. */
std::string entryOf(const upstream_standin& upstream, const std::string& state);

/** A process of lhub-gate. */
struct gate_process {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    int pid = 0; ///< 0 while it does not run.
};

/** A small deployment: three zones in two regions, with one gate each. */
struct deployment {
    std::string directory; ///< Temporary, for settings files and logs of the gates.
    std::string ipPrefix; ///< First three numbers of the loopback addresses of this run, with a dot behind.
    std::shared_ptr<store_standin> store;
    std::vector<std::shared_ptr<upstream_standin>> upstreams;
    std::vector<gate_process> gates;
    unsigned callerPort = 0;
    unsigned readyPort = 0;
    unsigned lookupPort = 0;
    unsigned peerPort = 0;
    unsigned gossipPort = 0;
};

/** Makes the deployment with @p upstreamsPerZone upstreams, all of the service s0; starts the store and the upstreams, no gate. */
std::unique_ptr<deployment> makeDeployment(unsigned upstreamsPerZone);

/** Writes a configuration: a list of rows of routes, as JSON, and the largest body. Acknowledged when it returns. */
void writeConfig(deployment& world, unsigned version, const std::string& routeRows, std::uint64_t maxBodyBytes);

/** A row of a route for writeConfig(). */
std::string routeRow(const std::string& name, const std::string& prefix, const std::string& kind, unsigned timeoutMs, unsigned objectiveMs, unsigned maxAttempts);

/** Starts the process of a gate with the command of the deploy file. */
bool startGate(deployment& world, gate_process& gate, bool firstStart);

/** Ends the process of a gate with SIGKILL and waits for its end. */
void killGate(gate_process& gate);

/** Whether the gate answers its readiness check with 200. */
bool isReady(const deployment& world, const gate_process& gate);

/** Waits until all gates are ready. */
bool awaitReady(const deployment& world, double timeoutS);

/** Address of a gate for clients. */
std::string frontOf(const deployment& world, const gate_process& gate);

/** Ends all processes and removes the temporary directory; exits with @p code: 0 held, 1 broken, 2 could not run. */
[[noreturn]] void finish(deployment& world, int code);

int runLimitsBeforeConfig();
int runEarlyAnswer();

} // namespace review
