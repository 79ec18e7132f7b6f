/**
 * Reads and checks the environment (LB_*), the configuration file and the settings, and supplies
 * their defaults. {@link wheelroute.config.ConfigReader} is the entry point for the service, {@link
 * wheelroute.config.SettingsReader} for the adapter; {@code ConfigKeys} defines the names of all
 * variables and keys.
 */
package wheelroute.config;
