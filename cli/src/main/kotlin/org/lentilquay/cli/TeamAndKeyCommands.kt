/*
 * Commands that change teams and their keys. A new key is generated here and printed once; only its hash leaves the
 * tool.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.KeyId
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

fun teamCommand(): GroupCommand =
    GroupCommand("team", "Manage teams and rate limits").also { it.subcommands(PutTeamCommand(), RemoveTeamCommand()) }

fun keyCommand(): GroupCommand =
    GroupCommand("key", "Manage keys of callers").also { it.subcommands(GrantKeyCommand(), WithdrawKeyCommand()) }

class PutTeamCommand : ChangeCommand("put", "Create a team or change its rate limit") {
    private val team by argument()
    private val rate by option("--rate", help = "Tokens per second over all VMs").long().required()
    private val burst by option("--burst", help = "Burst in tokens over all VMs").long().required()
    private val weight by option("--weight", help = "Relative weight when teams compete").int().default(1)

    override fun change(): ConfigurationChange = ConfigurationChange.PutTeam(Team(TeamId(team), rate, burst, weight))
}

class RemoveTeamCommand : ChangeCommand("remove", "Remove a team that has no keys and no routes") {
    private val team by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.RemoveTeam(TeamId(team))
}

class GrantKeyCommand : ChangeCommand("grant", "Generate a key for a team and print it once") {
    private val key by argument(help = "Name of the key; it is not secret")
    private val team by option("--team").required()
    private val secret = newKeyText()

    override fun change(): ConfigurationChange =
        ConfigurationChange.GrantKey(CallerKey(KeyId(key), TeamId(team), sha256(secret)))

    override fun afterConfirmation() = echo("key: $secret")
}

class WithdrawKeyCommand : ChangeCommand("withdraw", "Withdraw a key; active streams that use it are aborted") {
    private val key by argument()

    override fun change(): ConfigurationChange = ConfigurationChange.WithdrawKey(KeyId(key))
}

private fun newKeyText(): String {
    val bytes = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
    return "lq-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
}

private fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

/** Random bytes in a key. 256 bits cannot be guessed, so that an unsalted hash is enough to protect them. */
private const val KEY_BYTES = 32
