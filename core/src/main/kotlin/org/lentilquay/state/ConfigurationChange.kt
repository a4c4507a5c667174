/*
 * The changes that operators can make to the configuration. The same types serve plans, the configuration log and the
 * audit trail. A change is validated against the configuration to which it is applied, in the same way for a plan and
 * for its confirmation.
 */
package org.lentilquay.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change that an operator makes to the configuration. */
@Serializable
sealed interface ConfigurationChange {
    /** Creates or replaces a team; the other `Put` changes do the same for their items. */
    @Serializable
    @SerialName("put-team")
    data class PutTeam(val team: Team) : ConfigurationChange

    @Serializable
    @SerialName("remove-team")
    data class RemoveTeam(val team: TeamId) : ConfigurationChange

    @Serializable
    @SerialName("grant-key")
    data class GrantKey(val key: CallerKey) : ConfigurationChange

    @Serializable
    @SerialName("withdraw-key")
    data class WithdrawKey(val key: KeyId) : ConfigurationChange

    @Serializable
    @SerialName("put-adapter")
    data class PutAdapter(val adapter: Adapter) : ConfigurationChange

    @Serializable
    @SerialName("remove-adapter")
    data class RemoveAdapter(val adapter: String) : ConfigurationChange

    @Serializable
    @SerialName("put-route")
    data class PutRoute(val route: Route) : ConfigurationChange

    @Serializable
    @SerialName("remove-route")
    data class RemoveRoute(val route: RouteId) : ConfigurationChange

    @Serializable
    @SerialName("put-server")
    data class PutServer(val server: BackendServer) : ConfigurationChange

    @Serializable
    @SerialName("set-server-state")
    data class SetServerState(val server: ServerId, val state: ServerState) : ConfigurationChange

    @Serializable
    @SerialName("remove-server")
    data class RemoveServer(val server: ServerId) : ConfigurationChange

    @Serializable
    @SerialName("set-domain-state")
    data class SetDomainState(val domain: DomainId, val state: DomainState) : ConfigurationChange

    /** Several changes that take effect in one revision. */
    @Serializable
    @SerialName("batch")
    data class Batch(val changes: List<ConfigurationChange>) : ConfigurationChange
}
