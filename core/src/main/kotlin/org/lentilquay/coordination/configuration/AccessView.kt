/*
 * Authorization of requests for routes at one revision of the configuration. The view is immutable, so that request
 * threads can read it without locks. A key is found by the SHA-256 of the presented text in one hash lookup.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.state.CallerKey
import org.lentilquay.state.Configuration
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.TeamId
import org.lentilquay.state.internal.indexed
import java.security.MessageDigest
import java.util.HexFormat

/** The result of authorizing a request for a route. */
sealed interface AccessDecision {
    /**
     * The request may use [route] and is charged to [team]. [key] is null for a request without a key on an open route.
     */
    data class Allowed(val route: Route, val team: TeamId, val key: CallerKey?) : AccessDecision

    /** The request is refused without being executed. */
    sealed interface Refused : AccessDecision {
        val failure: Failure
    }

    data class RouteUnknown(val route: RouteId) : Refused {
        override val failure: Failure
            get() = Failure(ErrorKind.ROUTE_UNKNOWN, "route $route does not exist")
    }

    data class KeyMissing(val route: RouteId) : Refused {
        override val failure: Failure
            get() = Failure(ErrorKind.KEY_MISSING, "route $route needs a key; send it as 'Authorization: Bearer'")
    }

    data object KeyInvalid : Refused {
        override val failure: Failure
            get() = Failure(ErrorKind.KEY_INVALID, "the key is unknown or was withdrawn")
    }

    data class RouteForbidden(val route: RouteId, val team: TeamId) : Refused {
        override val failure: Failure
            get() = Failure(ErrorKind.ROUTE_FORBIDDEN, "team $team may not use route $route")
    }

    /** This VM cannot confirm that its keys are up to date. */
    data object ConfigurationStale : Refused {
        override val failure: Failure
            get() = Failure(
                ErrorKind.CONFIGURATION_STALE,
                "this VM cannot confirm that the key is still in force; send the request again",
                FRESHNESS_BOUND_MILLIS,
            )
    }
}

/** The keys and routes of one configuration. */
class AccessView private constructor(
    private val configuration: Configuration,
    private val keysByHash: Map<String, CallerKey>,
) {
    constructor(configuration: Configuration) : this(configuration, configuration.keys.indexed().byHash)

    /** The revision of the configuration. */
    val revision: Long get() = configuration.revision

    /** The valid key whose text is [presented], or null. */
    fun find(presented: String): CallerKey? = keysByHash[sha256Of(presented)]

    /** Whether [key] is still valid and unchanged; if not, streams that use it are aborted. */
    fun isInForce(key: CallerKey): Boolean = configuration.keys[key.id] == key

    /**
     * Decides whether a request for [route] with the key text [presented] is allowed. A key is checked on an open route
     * as well, so that a request with a key is always charged to the team of that key.
     */
    fun authorize(route: RouteId, presented: String?, freshness: FreshnessState): AccessDecision {
        val found = configuration.routes[route] ?: return AccessDecision.RouteUnknown(route)
        val openTeam = found.openTeam.takeIf { found.open }
        return when {
            presented != null -> authorize(found, presented, freshness)
            openTeam != null -> AccessDecision.Allowed(found, openTeam, null)
            else -> AccessDecision.KeyMissing(route)
        }
    }

    private fun authorize(route: Route, presented: String, freshness: FreshnessState): AccessDecision {
        if (freshness == FreshnessState.ISOLATED) return AccessDecision.ConfigurationStale
        val key = find(presented) ?: return AccessDecision.KeyInvalid
        val teams = route.teams
        return if (teams == null || key.team in teams) {
            AccessDecision.Allowed(route, key.team, key)
        } else {
            AccessDecision.RouteForbidden(route.id, key.team)
        }
    }

    /** Returns the view of [next]. The index of keys is reused if the keys are the same. */
    internal fun next(next: Configuration): AccessView =
        if (next.keys === configuration.keys) AccessView(next, keysByHash) else AccessView(next)
}

/** The SHA-256 of [text] in lower-case hexadecimal, the form in which keys are stored. */
fun sha256Of(text: String): String = sha256Of(text.encodeToByteArray())

/** The SHA-256 of the concatenated [parts] in lower-case hexadecimal. */
fun sha256Of(vararg parts: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach(digest::update)
    return HexFormat.of().formatHex(digest.digest())
}
