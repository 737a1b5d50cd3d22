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

/** What [Cluster] needs of the rest of its node: what it tells the peers, and who takes what they tell. */
public interface ClusterPorts {
    /** This node's present role. */
    public fun leadershipState(): LeadershipState

    /** Whether the state service answers this node. */
    public fun reachesStateService(): Boolean

    /** As the leader: how many tasks of each job run. */
    public fun runningTasks(): Map<JobId, Int>

    /** What this node's memory can hold of open jobs. */
    public fun openJobsLimit(): Footprint

    /** A peer knows this term. */
    public fun observeTerm(term: Term)

    /** No controller answers workers in the name of a term before [term] any more. Told more than once. */
    public fun previousLeadersStopped(term: Term)

    /** The incarnation that led before [term] has ended. Told more than once. */
    public fun previousLeaderEnded(term: Term)

    /** As the leader: how long from now the node may answer as lease delegate; null: not now. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer?

    /** The leader has made this node lease delegate. */
    public fun delegationGranted(grant: DelegationGrant)

    /** No leader grants a longer delegation. */
    public val longestDelegation: Duration

    /** Terminal states that a peer has recorded. */
    public fun receiveTerminalStates(records: Map<JobId, TerminalRecord>)

    /** How many tasks of each job run, as the leader tells. */
    public fun receiveRunningCounts(counts: Map<JobId, Int>)

    /** Answers a user's request on this node, without forwarding it to another one. */
    public suspend fun serveUserRequest(request: Request): Response

    /** Answers a peer's request to the leader. */
    public suspend fun serveLeaderRequest(request: Request): Response
}
