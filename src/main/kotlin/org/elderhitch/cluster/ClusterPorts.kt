package org.elderhitch.cluster

import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import kotlin.time.Duration

/** The interface of [Cluster] to the rest of its node: the state to report to peers, and handlers of what they send. */
public interface ClusterPorts {
    /** This node's current role. */
    public fun leadershipState(): LeadershipState

    /**
     * The highest term that this node's answers to workers respect: from now on it answers none as the leader or as a
     * lease delegate of an earlier term. [leadershipState] may be ahead of it.
     */
    public fun respectedTerm(): Term

    /** Whether this node receives responses from the state service. */
    public fun reachesStateService(): Boolean

    /** The number of running tasks of each job. Called only while this node leads. */
    public fun runningTasks(): Map<JobId, Int>

    /** The largest footprint of open jobs that fits this node's memory. */
    public fun openJobsLimit(): Footprint

    /** Called when a peer has reported [term]. */
    public fun observeTerm(term: Term)

    /** Called, possibly repeatedly, once no controller answers workers with a term before [term] any more. */
    public fun previousLeadersStopped(term: Term)

    /** Called, possibly repeatedly, once the incarnation that led before [term] has ended. */
    public fun previousLeaderExited(term: Term)

    /** As the leader, decides how long from now [node] may answer as lease delegate; null if it may not now. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer?

    /** Called when the leader has made this node a lease delegate. */
    public fun delegationGranted(grant: DelegationGrant)

    /** The maximum duration of a delegation that any leader grants. */
    public val maxDelegationDuration: Duration

    /** Handles terminal states that a peer has recorded. */
    public fun receiveTerminalStates(records: Map<JobId, TerminalRecord>)

    /** Handles the number of running tasks of each job, as reported by the leader. */
    public fun receiveRunningCounts(counts: Map<JobId, Int>)

    /** Answers a user's request on this node, without forwarding it to another one. */
    public suspend fun serveUserRequest(request: Request): Response

    /** Answers a request that a peer has sent to this node as the leader. */
    public suspend fun serveLeaderRequest(request: Request): Response
}
